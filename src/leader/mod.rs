//! Election, term and the right to act.
//!
//! A candidate opens a lease and puts the leader's key attached to it, guarded
//! by the key's absence. The revision of that put is the term: it only grows,
//! though the key comes and goes. The leader's right ends, by its own steady
//! clock, one life of the lease after its last successful renewal was sent.

pub mod active_leader;
pub mod redirects;

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::time::sleep;
use tracing::{debug, info};

use crate::api::ConnectionTimeouts;
use crate::controller::{read_clocks, Controller, Role};
use crate::core::storage::record::{LeaderRecord, LEADER};
use crate::settings::{DeploymentSettings, OperatorSettings};
use crate::stall::TICK;
use crate::store::StoreError;
use crate::wire::{Change, Condition, KeyValue, Transaction};
use active_leader::ActiveLeader;

/// Runs one controller for ever.
pub async fn run(platform: DeploymentSettings, tuning: OperatorSettings) -> io::Result<()> {
    let node = Controller::new(platform, tuning);
    let name = |what: &str, addr| {
        let what = what.to_owned();
        move |e: io::Error| io::Error::new(e.kind(), format!("can't listen on {what} {addr}: {e}"))
    };
    let api = TcpListener::bind(node.platform.listen)
        .await
        .map_err(name("api_addr", node.platform.listen))?;
    let back = TcpListener::bind(node.platform.peer_listen)
        .await
        .map_err(name("back", node.platform.peer_listen))?;
    info!(host = node.host(), zone = node.platform.zone, "started");
    for link in &node.links {
        tokio::spawn(link.clone().run(node.clone()));
    }
    tokio::spawn(crate::peer::listen(back, node.clone()));
    tokio::spawn(run_elections(node.clone()));
    tokio::spawn(watch_for_stalls(node.clone()));
    let patience = ConnectionTimeouts::new(node.platform.params.workers.report);
    crate::api::serve(api, node, patience).await;
    Ok(())
}

/// Measures how late the process's own timer fires.
async fn watch_for_stalls(node: Arc<Controller>) {
    loop {
        sleep(TICK).await;
        node.check_for_stall();
        node.stall_detector.tick(Instant::now());
    }
}

fn record_of(item: &KeyValue) -> Option<LeaderRecord> {
    serde_json::from_value(item.value.clone()).ok()
}

/// Follows the leader's key; leads when it can.
async fn run_elections(node: Arc<Controller>) {
    loop {
        match node.store.get(LEADER).await {
            Ok(Ok(item)) => match record_of(&item) {
                // Our earlier self is dead: its key may be replaced at once.
                Some(r) if r.host == node.host() => run_for_leader(&node, item.version).await,
                Some(r) => follow(&node, &r, item.version).await,
                None => run_for_leader(&node, item.version).await,
            },
            Ok(Err(_)) => run_for_leader(&node, 0).await,
            Err(e) => {
                debug!(error = %e, "can't read who leads");
                sleep(Duration::from_millis(300)).await;
            }
        }
    }
}

/// Follows a leader until its key changes or can't be watched.
async fn follow(node: &Arc<Controller>, leader: &LeaderRecord, version: u64) {
    info!(leader = leader.host, term = version, "following");
    node.observe_term(version);
    node.set_role(Role::Following {
        host: leader.host.clone(),
        term: version,
    });
    node.known_types().await;
    let mut since = version;
    loop {
        match node.store.watch(LEADER, since, Duration::from_secs(10)).await {
            Ok(w) if w.events.is_empty() => since = since.max(w.revision),
            Ok(_) | Err(StoreError::TooOld) => return,
            Err(e) => {
                // Unknown, not gone: the leader may well lead on. It is read
                // afresh as soon as that works.
                debug!(error = %e, "can't watch the leader");
                sleep(Duration::from_millis(400)).await;
                match node.store.get(LEADER).await {
                    Ok(Ok(item)) if item.version == version => since = version,
                    Ok(_) => return,
                    Err(_) => {}
                }
            }
        }
    }
}

/// Stands for election, and leads if elected.
async fn run_for_leader(node: &Arc<Controller>, version: u64) {
    let life = node.tuning.leader_lease;
    let sent = read_clocks();
    let lease = match node.store.grant_lease(life).await {
        Ok(l) => l,
        Err(e) => {
            debug!(error = %e, "no lease granted");
            return sleep(Duration::from_millis(200)).await;
        }
    };
    let record = LeaderRecord {
        host: node.host().to_owned(),
        nonce: node.nonce,
    };
    let Ok(value) = serde_json::to_value(&record) else {
        return;
    };
    let t = Transaction {
        conditions: vec![Condition {
            key: LEADER.into(),
            version,
        }],
        changes: vec![Change::Put {
            put: LEADER.into(),
            value,
            lease: Some(lease),
        }],
    };
    let mut term = match node.store.transact(&t, Duration::from_millis(1200)).await {
        Ok(revision) => Some(revision),
        Err(StoreError::Unanswered) => None,
        Err(e) => {
            debug!(error = %e, "not elected");
            let _ = node.store.revoke_lease(lease).await;
            return sleep(Duration::from_millis(100)).await;
        }
    };
    if term.is_none() {
        // It may have applied, or still may: the key tells. A late copy puts
        // a key of ours attached to a lease that ends soon.
        if let Ok(Ok(item)) = node.store.get(LEADER).await {
            if record_of(&item).as_ref() == Some(&record) && item.version > version {
                term = Some(item.version);
            }
        }
    }
    let Some(term) = term else {
        let _ = node.store.revoke_lease(lease).await;
        return sleep(Duration::from_millis(100)).await;
    };
    info!(term, "elected");
    node.observe_term(term);
    let active_leader = ActiveLeader::new(node.clone(), term, lease, sent);
    active_leader.clone().lead().await;
    node.set_role(Role::Unknown);
    info!(term, "no longer leading");
    // Another is to have the first try: this one may have given up for want
    // of connections.
    sleep(Duration::from_millis(1500)).await;
}
