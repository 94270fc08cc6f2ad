//! Leader election through the state service.
//!
//! A candidate requests a lease and puts the leader's key attached to it, on
//! condition that the key still has the version that the candidate read (0: the key
//! does not exist). The revision of that put is the term. Revisions only grow, so
//! terms do as well, although the key is deleted and put again.
//! The leader's authority ends, by its own clocks, one lease after its last
//! successful renewal was sent (see [`crate::core::evidence::authority`]).

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tracing::{debug, info};

use super::active_leader::ActiveLeader;
use crate::clock::read_clocks;
use crate::controller::{Controller, Role};
use crate::core::storage::record::{LeaderRecord, LEADER_KEY};
use crate::store::{KeyRead, StoreError};
use crate::wire::{Change, Condition, KeyValue, Transaction};

/// Pause before the leader's key is read again after a read that failed.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Pause before the leader's key is read again after a watch that failed.
const WATCH_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// How long the state service may hold one watch of the leader's key.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a request for a lease has failed.
const LEASE_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Timeout of the transaction that puts the leader's key.
const PUT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Pause after another candidate was elected, or the key could not be put.
const LOST_ELECTION_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a term, so that another controller can be elected first: this one
/// may have ended its term because it lacked connections.
const PAUSE_AFTER_TERM: Duration = Duration::from_millis(1500);

/// Watches the leader's key for as long as the process runs: follows the leader
/// that the key names, stands for election if there is none, and leads if elected.
pub(super) async fn run_elections(controller: Arc<Controller>) {
    loop {
        match controller.store().get(LEADER_KEY).await {
            Ok(KeyRead::Found(item)) => match parse_leader(&item) {
                // The key is from an earlier process on this host, which is dead as
                // this one replaced it, or from a term of this process that has ended
                // or that it never led. It may be overwritten at once.
                Some(leader) if leader.host == controller.host() => {
                    stand_for_election(&controller, item.version).await;
                }
                Some(leader) => follow(&controller, &leader, item.version).await,
                None => stand_for_election(&controller, item.version).await,
            },
            Ok(KeyRead::Missing { .. }) => stand_for_election(&controller, 0).await,
            Err(error) => {
                debug!(%error, "reading the leader's key failed, retrying");
                sleep(READ_RETRY_PAUSE).await;
            }
        }
    }
}

fn parse_leader(item: &KeyValue) -> Option<LeaderRecord> {
    serde_json::from_value(item.value.clone()).ok()
}

/// Follows a leader until its key changes, or until the changes since the last
/// watch are no longer kept and the key has to be read again.
async fn follow(controller: &Arc<Controller>, leader: &LeaderRecord, term: u64) {
    info!(leader = leader.host, term, "following the leader");
    controller.observe_term(term);
    controller.set_role(Role::Following {
        host: leader.host.clone(),
        term,
    });
    controller.ensure_machine_types().await;
    let mut since = term;
    loop {
        match controller.store().watch(LEADER_KEY, since, WATCH_TIMEOUT).await {
            Ok(watched) if watched.events.is_empty() => since = since.max(watched.revision),
            Ok(_) | Err(StoreError::RevisionTooOld { .. }) => return,
            Err(error) => {
                // This doesn't show that the leader has lost its lease, so it is
                // followed until a read shows that its key has changed.
                debug!(%error, "watching the leader's key failed, reading it again");
                sleep(WATCH_RETRY_PAUSE).await;
                match controller.store().get(LEADER_KEY).await {
                    Ok(KeyRead::Found(item)) if item.version == term => since = term,
                    Ok(_) => return,
                    Err(_) => {}
                }
            }
        }
    }
}

/// Stands for election, on condition that the leader's key still has
/// `version`; if elected, leads until the end of the term.
async fn stand_for_election(controller: &Arc<Controller>, version: u64) {
    let lifetime = controller.operator_settings().leader_lease;
    let lease_requested = read_clocks();
    let lease = match controller.store().grant_lease(lifetime).await {
        Ok(lease) => lease,
        Err(error) => {
            debug!(%error, "no lease granted for the election, retrying");
            return sleep(LEASE_RETRY_PAUSE).await;
        }
    };
    let Some(term) = put_leader_key(controller, version, lease).await else {
        let _ = controller.store().revoke_lease(lease).await;
        return sleep(LOST_ELECTION_PAUSE).await;
    };
    info!(term, "elected as leader");
    controller.observe_term(term);
    let active_leader = ActiveLeader::new(controller.clone(), term, lease, lease_requested);
    active_leader.clone().run_term().await;
    controller.set_role(Role::Unknown);
    info!(term, "no longer leading");
    sleep(PAUSE_AFTER_TERM).await;
}

/// Puts the leader's key, attached to the lease, if it still has `version`. Returns
/// the term, or `None` if the election is lost.
async fn put_leader_key(controller: &Controller, version: u64, lease: u64) -> Option<u64> {
    let record = LeaderRecord {
        host: controller.host().to_owned(),
        nonce: controller.nonce(),
    };
    let transaction = Transaction {
        conditions: vec![Condition {
            key: LEADER_KEY.into(),
            version,
        }],
        changes: vec![Change::Put {
            put: LEADER_KEY.into(),
            value: serde_json::to_value(&record).expect("a host name and a number always serialize"),
            lease: Some(lease),
        }],
    };
    match controller.store().transact(&transaction, PUT_TIMEOUT).await {
        Ok(revision) => Some(revision),
        Err(StoreError::Unanswered { .. }) => resolve_unanswered_put(controller, &record, version).await,
        Err(error) => {
            debug!(%error, "election lost: the leader's key was not put");
            None
        }
    }
}

/// Returns the term of a put that was not answered, if the put has been executed.
/// If it is executed only after this read, the key is attached to a lease that is
/// not renewed, and is soon deleted with it.
async fn resolve_unanswered_put(controller: &Controller, record: &LeaderRecord, version: u64) -> Option<u64> {
    let Ok(KeyRead::Found(item)) = controller.store().get(LEADER_KEY).await else {
        return None;
    };
    let is_ours = parse_leader(&item).as_ref() == Some(record) && item.version > version;
    is_ours.then_some(item.version)
}
