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
use crate::clock::read_clocks;
use crate::controller::{Controller, Role};
use crate::core::storage::record::{LeaderRecord, LEADER};
use crate::settings::{DeploymentSettings, OperatorSettings};
use crate::stall::TICK;
use crate::store::{KeyRead, StoreError};
use crate::wire::{Change, Condition, KeyValue, Transaction};
use active_leader::ActiveLeader;

/// Runs one controller for ever.
pub async fn run(deployment: DeploymentSettings, operator_settings: OperatorSettings) -> io::Result<()> {
    let controller = Controller::new(deployment, operator_settings);
    let name = |what: &str, addr| {
        let what = what.to_owned();
        move |e: io::Error| io::Error::new(e.kind(), format!("can't listen on {what} {addr}: {e}"))
    };
    let api = TcpListener::bind(controller.deployment.listen)
        .await
        .map_err(name("api_addr", controller.deployment.listen))?;
    let back = TcpListener::bind(controller.deployment.peer_listen)
        .await
        .map_err(name("back", controller.deployment.peer_listen))?;
    info!(
        host = controller.host(),
        zone = controller.deployment.zone,
        "started"
    );
    for link in &controller.links {
        tokio::spawn(link.clone().run(controller.clone()));
    }
    tokio::spawn(crate::peer::listen(back, controller.clone()));
    tokio::spawn(run_elections(controller.clone()));
    tokio::spawn(watch_for_stalls(controller.clone()));
    let patience = ConnectionTimeouts::new(controller.deployment.cluster.workers.heartbeat_interval);
    crate::api::serve(api, controller, patience).await;
    Ok(())
}

/// Measures how late the process's own timer fires.
async fn watch_for_stalls(controller: Arc<Controller>) {
    loop {
        sleep(TICK).await;
        controller.check_for_stall();
        controller.stall_detector.tick(Instant::now());
    }
}

fn record_of(item: &KeyValue) -> Option<LeaderRecord> {
    serde_json::from_value(item.value.clone()).ok()
}

/// Follows the leader's key; leads when it can.
async fn run_elections(controller: Arc<Controller>) {
    loop {
        match controller.store.get(LEADER).await {
            Ok(KeyRead::Found(item)) => match record_of(&item) {
                // Our earlier self is dead: its key may be replaced at once.
                Some(r) if r.host == controller.host() => run_for_leader(&controller, item.version).await,
                Some(r) => follow(&controller, &r, item.version).await,
                None => run_for_leader(&controller, item.version).await,
            },
            Ok(KeyRead::Missing { .. }) => run_for_leader(&controller, 0).await,
            Err(e) => {
                debug!(error = %e, "can't read who leads");
                sleep(Duration::from_millis(300)).await;
            }
        }
    }
}

/// Follows a leader until its key changes or can't be watched.
async fn follow(controller: &Arc<Controller>, leader: &LeaderRecord, version: u64) {
    info!(leader = leader.host, term = version, "following");
    controller.observe_term(version);
    controller.set_role(Role::Following {
        host: leader.host.clone(),
        term: version,
    });
    controller.known_types().await;
    let mut since = version;
    loop {
        match controller
            .store
            .watch(LEADER, since, Duration::from_secs(10))
            .await
        {
            Ok(w) if w.events.is_empty() => since = since.max(w.revision),
            Ok(_) | Err(StoreError::TooOld) => return,
            Err(e) => {
                // Unknown, not gone: the leader may well lead on. It is read
                // afresh as soon as that works.
                debug!(error = %e, "can't watch the leader");
                sleep(Duration::from_millis(400)).await;
                match controller.store.get(LEADER).await {
                    Ok(KeyRead::Found(item)) if item.version == version => since = version,
                    Ok(_) => return,
                    Err(_) => {}
                }
            }
        }
    }
}

/// Stands for election, and leads if elected.
async fn run_for_leader(controller: &Arc<Controller>, version: u64) {
    let life = controller.operator_settings.leader_lease;
    let sent = read_clocks();
    let lease = match controller.store.grant_lease(life).await {
        Ok(l) => l,
        Err(e) => {
            debug!(error = %e, "no lease granted");
            return sleep(Duration::from_millis(200)).await;
        }
    };
    let record = LeaderRecord {
        host: controller.host().to_owned(),
        nonce: controller.nonce,
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
    let mut term = match controller.store.transact(&t, Duration::from_millis(1200)).await {
        Ok(revision) => Some(revision),
        Err(StoreError::Unanswered) => None,
        Err(e) => {
            debug!(error = %e, "not elected");
            let _ = controller.store.revoke_lease(lease).await;
            return sleep(Duration::from_millis(100)).await;
        }
    };
    if term.is_none() {
        // It may have applied, or still may: the key tells. A late copy puts
        // a key of ours attached to a lease that ends soon.
        if let Ok(KeyRead::Found(item)) = controller.store.get(LEADER).await {
            if record_of(&item).as_ref() == Some(&record) && item.version > version {
                term = Some(item.version);
            }
        }
    }
    let Some(term) = term else {
        let _ = controller.store.revoke_lease(lease).await;
        return sleep(Duration::from_millis(100)).await;
    };
    info!(term, "elected");
    controller.observe_term(term);
    let active_leader = ActiveLeader::new(controller.clone(), term, lease, sent);
    active_leader.clone().lead().await;
    controller.set_role(Role::Unknown);
    info!(term, "no longer leading");
    // Another is to have the first try: this one may have given up for want
    // of connections.
    sleep(Duration::from_millis(1500)).await;
}
