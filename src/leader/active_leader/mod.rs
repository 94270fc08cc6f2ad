//! One term of this controller as the leader.
//!
//! [`ActiveLeader`] owns the cluster model, the writer, the authority and the
//! redirect history of the term; only the modules of this folder change them. Each
//! has a lock of its own, which is never held across an await. Where several locks
//! are held at once, the model's is taken first.
//!
//! * `term`: the life cycle of a term, from loading the stored state to its end.
//! * `takeover`: loads the stored state into the model.
//! * `lease_renewal`: keeps the lease, and confirms that this controller leads.
//! * `rounds`: runs scheduling rounds; `state_writes` stores and `command_dispatch`
//!   sends what they decide.
//! * `heartbeat_handling`: heartbeats of workers; `redirection`: which controller
//!   each worker is to report to.
//! * `submission`, `job_status`, `cancellation`: requests of users.
//! * `job_intake`, `reconciliation`: jobs that other controllers stored.
//! * `dependency_lookup`: reads the outcomes of jobs that other jobs depend on.
//! * `machine_types`, `machine_list`, `fleet_actions`: requests to the cloud.
//! * `term_leader`: the trait through which the controller calls this type.
//! * `moment`: converts stored times of day to instants of the steady clock.

mod cancellation;
mod command_dispatch;
mod dependency_lookup;
mod fleet_actions;
mod heartbeat_handling;
mod job_intake;
mod job_status;
mod lease_renewal;
mod machine_list;
mod machine_types;
mod moment;
mod reconciliation;
mod redirection;
mod rounds;
mod state_writes;
mod submission;
mod takeover;
mod term;
mod term_leader;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;
use tokio::sync::Notify;

use self::lease_renewal::LeaseRenewals;
use super::redirects::RedirectHistory;
use crate::clock::read_clocks;
use crate::controller::Controller;
use crate::core::evidence::authority::{Authority, AuthorityLimits, ClockReading};
use crate::core::storage::record;
use crate::core::ClusterModel;
use crate::store::writer::Writer;

/// The leader of one term, from its election to the end of the term.
#[derive(Debug)]
pub struct ActiveLeader {
    /// The term: the revision at which this controller was elected.
    term: u64,
    controller: Arc<Controller>,
    /// The lease at the state service that the leader's key is attached to.
    lease: u64,
    model: Mutex<ClusterModel>,
    writer: Arc<Writer>,
    authority: Mutex<Authority>,
    renewals: LeaseRenewals,
    /// The stored state has been loaded into the model.
    loaded: AtomicBool,
    /// When the stored state was loaded; `None` before that, and again once no machine
    /// that is up still needs a probe to be fenced.
    fencing_began: Mutex<Option<Instant>>,
    /// The term has ended: this controller may no longer decide or store anything.
    ended: AtomicBool,
    /// Wakes [`ActiveLeader::run_term`] when the term ends.
    end_notify: Notify,
    /// Wakes `run_rounds`: the model has changed in a way that may need a scheduling
    /// round.
    round_requested: Notify,
    /// Wakes `look_up_dependencies`: dependencies are unresolved.
    lookup_requested: Notify,
    redirects: Mutex<RedirectHistory>,
}

impl ActiveLeader {
    /// Creates the leader of a term that was just won. Its lease was granted in
    /// response to a request sent at `lease_requested`.
    pub fn new(
        controller: Arc<Controller>,
        term: u64,
        lease: u64,
        lease_requested: ClockReading,
    ) -> Arc<Self> {
        let max_changes = controller.config().max_transaction_changes;
        let writer = Writer::new(controller.store().clone(), record::LEADER_KEY, term, max_changes);
        let model = ClusterModel::new(controller.config().clone(), term);
        let workers = &controller.deployment().cluster.workers;
        let limits = AuthorityLimits {
            leader_lease: controller.operator_settings().leader_lease,
            worker_lease: workers.lease,
            cancel_deadline: workers.cancel_deadline,
            clock_error: controller.deployment().cluster.clock_error,
        };
        Arc::new(Self {
            term,
            lease,
            model: Mutex::new(model),
            writer,
            authority: Mutex::new(Authority::new(&limits, lease_requested)),
            renewals: LeaseRenewals::new(),
            loaded: AtomicBool::new(false),
            fencing_began: Mutex::new(None),
            ended: AtomicBool::new(false),
            end_notify: Notify::new(),
            round_requested: Notify::new(),
            lookup_requested: Notify::new(),
            redirects: Mutex::default(),
            controller,
        })
    }

    /// Records that the process has resumed after a pause. Heartbeats that were
    /// missed before `now` are no evidence that their workers have failed.
    pub fn resumed_after_pause(&self, now: Instant) {
        self.authority.lock().resumed_after_pause(now);
        self.model.lock().ignore_silence_before(now);
    }

    /// Whether this controller may act as the leader now: decide, store, send
    /// commands and respond from memory.
    pub fn may_act(&self) -> bool {
        self.loaded.load(Ordering::Relaxed)
            && !self.ended.load(Ordering::Relaxed)
            && !self.writer.has_ended()
            && self.authority.lock().may_act(read_clocks())
    }

    /// Whether responses to heartbeats may renew workers' leases, see
    /// [`Authority::may_renew_leases`].
    fn may_renew_leases(&self) -> bool {
        self.loaded.load(Ordering::Relaxed)
            && !self.ended.load(Ordering::Relaxed)
            && self.authority.lock().may_renew_leases(read_clocks())
    }

    /// Ends the term in this process for good. May be called more than once.
    pub fn end_term(&self) {
        self.ended.store(true, Ordering::Relaxed);
        self.writer.end();
        self.end_notify.notify_one();
    }

    /// Wakes `run_rounds` for a scheduling round, now or after the present pause.
    fn request_round(&self) {
        self.round_requested.notify_one();
    }
}
