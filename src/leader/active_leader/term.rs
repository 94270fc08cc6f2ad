//! The course of one term: load what is stored, announce the leadership, run the
//! term's loops, and release the lease.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;
use tokio::time::sleep;
use tracing::info;

use super::ActiveLeader;
use crate::controller::Role;

/// Pause before the stored state is read again after a read that failed.
const LOAD_RETRY_PAUSE: Duration = Duration::from_millis(200);

impl ActiveLeader {
    /// Leads until the term has ended: by [`ActiveLeader::end`], whoever calls
    /// it. The renewal of the lease, the writer and the loops are cancelled then;
    /// writes, commands and users' requests under way find the term ended.
    pub async fn lead(self: Arc<Self>) {
        let mut tasks = JoinSet::new();
        tasks.spawn(self.clone().renew_lease());
        tasks.spawn(self.writer.clone().run());
        tokio::select! {
            () = self.clone().load_and_run() => {}
            () = self.end_notify.notified() => {}
        }
        self.end();
        tasks.abort_all();
        self.revoke_lease_in_background();
    }

    /// Takes the cluster over, then runs the loops of the term.
    async fn load_and_run(self: Arc<Self>) {
        let began = Instant::now();
        self.load_with_retry().await;
        self.announce(began);
        self.run_loops().await;
    }

    /// Reads what is stored, again and again until that works or the term ends.
    async fn load_with_retry(&self) {
        while !self.ended.load(Ordering::Relaxed) {
            match self.load().await {
                Ok(()) => break,
                Err(error) => {
                    info!(%error, "can't read the stored state yet");
                    sleep(LOAD_RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Lets requests of users and workers through to this term.
    fn announce(self: &Arc<Self>, load_began: Instant) {
        *self.fencing_began.lock() = Some(Instant::now());
        self.loaded.store(true, Ordering::Relaxed);
        self.controller.set_role(Role::Leading(self.clone()));
        let model = self.model.lock();
        info!(
            term = self.term,
            jobs = model.jobs().len(),
            machines = model.machines().len(),
            took_ms = load_began.elapsed().as_millis() as u64,
            "state loaded"
        );
    }

    async fn run_loops(self: Arc<Self>) {
        let mut loops = JoinSet::new();
        loops.spawn(self.clone().watch_inbox());
        loops.spawn(self.clone().reconcile_jobs());
        loops.spawn(self.clone().look_up_dependencies());
        loops.spawn(self.clone().refresh_machine_types());
        loops.spawn(self.clone().list_machines());
        loops.spawn(self.clone().run_rounds());
        loops.spawn(self.clone().manage_fleet());
        while loops.join_next().await.is_some() {}
    }

    /// Lets the next leader be elected before the lease expires. The next
    /// election here does not wait for it.
    fn revoke_lease_in_background(&self) {
        let controller = self.controller.clone();
        let lease = self.lease;
        tokio::spawn(async move {
            let _ = controller.store().revoke_lease(lease).await;
        });
    }
}
