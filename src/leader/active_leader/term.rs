//! The life cycle of one term: load the stored state, start to serve requests, run
//! the term's loops, and revoke the lease at the end.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;
use tokio::time::sleep;
use tracing::info;

use super::ActiveLeader;
use crate::controller::Role;

/// Pause before the stored state is loaded again after a load that failed.
const LOAD_RETRY_PAUSE: Duration = Duration::from_millis(200);

impl ActiveLeader {
    /// Leads until any task calls [`ActiveLeader::end_term`]. Then the renewal of the
    /// lease, the writer and the loops of the term are cancelled. Writes, commands
    /// and users' requests in progress are not: they find that the term has ended.
    pub async fn run_term(self: Arc<Self>) {
        let mut tasks = JoinSet::new();
        tasks.spawn(self.clone().renew_lease());
        tasks.spawn(self.writer.clone().run());
        tokio::select! {
            () = self.clone().load_and_run() => {}
            () = self.end_notify.notified() => {}
        }
        self.end_term();
        tasks.abort_all();
        self.revoke_lease_in_background();
    }

    /// Loads the stored state, then serves requests and runs the loops of the term.
    async fn load_and_run(self: Arc<Self>) {
        let began = Instant::now();
        self.load_with_retry().await;
        self.start_serving(began);
        self.run_loops().await;
    }

    /// Loads the stored state; retries until that succeeds or the term ends.
    async fn load_with_retry(&self) {
        while !self.ended.load(Ordering::Relaxed) {
            match self.load_stored_state().await {
                Ok(()) => break,
                Err(error) => {
                    info!(%error, "loading the stored state failed, retrying");
                    sleep(LOAD_RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Makes the controller pass the requests of users and workers to this term.
    fn start_serving(self: &Arc<Self>, load_began: Instant) {
        *self.fencing_began.lock() = Some(Instant::now());
        self.loaded.store(true, Ordering::Relaxed);
        self.controller.set_role(Role::Leading(self.clone()));
        let model = self.model.lock();
        info!(
            term = self.term,
            jobs = model.jobs().len(),
            machines = model.machines().len(),
            dependency_visits = model.dependencies().visits(),
            took_ms = load_began.elapsed().as_millis() as u64,
            "stored state loaded; serving requests as the leader"
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

    /// Revokes the lease, so that the next leader can be elected before it would
    /// expire. This controller's next election does not wait for that.
    fn revoke_lease_in_background(&self) {
        let controller = self.controller.clone();
        let lease = self.lease;
        tokio::spawn(async move {
            let _ = controller.store().revoke_lease(lease).await;
        });
    }
}
