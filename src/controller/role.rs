//! Which controller leads, and in which term, as far as this controller knows.

use std::sync::Arc;
use std::time::Instant;

use tracing::info;

use crate::peer::KnownLeader;

use super::term_leader::TermLeader;
use super::Controller;

/// The role of this controller: whether it leads, or which controller it follows.
#[derive(Debug, Clone)]
pub enum Role {
    /// No leader is known yet, or this controller's own term has ended.
    Unknown,
    /// Another controller leads, as far as this one knows.
    Following {
        /// Name of the controller that leads.
        host: String,
        /// The term for which the leader was elected.
        term: u64,
    },
    /// This controller leads, or its term has just ended and the role is not replaced yet.
    Leading(Arc<dyn TermLeader>),
}

impl Controller {
    /// The current role; another task may replace it at any time.
    pub fn role(&self) -> Role {
        self.role.lock().clone()
    }

    /// Replaces the role, without any check of the terms.
    pub fn set_role(&self, role: Role) {
        *self.role.lock() = role;
    }

    /// The highest term known to this controller.
    pub fn known_term(&self) -> u64 {
        *self.known_term.lock()
    }

    /// Records that a term exists. If this controller leads in an older term, it ends that
    /// term.
    pub fn observe_term(&self, term: u64) {
        {
            let mut known_term = self.known_term.lock();
            if term <= *known_term {
                return;
            }
            *known_term = term;
        }
        if let Role::Leading(active_leader) = self.role() {
            if active_leader.term() < term {
                info!(
                    term = active_leader.term(),
                    newer_term = term,
                    "a newer term exists, ending this controller's term"
                );
                active_leader.end_term();
            }
        }
    }

    /// The latest leader that this controller knows.
    pub fn known_leader(&self) -> Option<KnownLeader> {
        match self.role() {
            Role::Unknown => None,
            Role::Following { host, term } => Some(KnownLeader { term, host }),
            Role::Leading(active_leader) => Some(KnownLeader {
                term: active_leader.term(),
                host: self.host().to_owned(),
            }),
        }
    }

    /// Follows the leader that another controller named, unless that is this controller, or
    /// this controller leads, knows a leader of the same or a later term, or knows of a later
    /// term. This is how a controller that can't read the state service finds the leader.
    pub fn observe_leader(&self, leader: Option<KnownLeader>) {
        let Some(KnownLeader { term, host }) = leader.filter(|leader| leader.host != self.host()) else {
            return;
        };
        let mut role = self.role.lock();
        let is_newer = match &*role {
            Role::Unknown => true,
            Role::Following { term: followed, .. } => term > *followed,
            Role::Leading(_) => false,
        };
        if is_newer && term >= self.known_term() {
            info!(
                leader = host,
                term, "following a leader that another controller named"
            );
            *role = Role::Following { host, term };
        }
    }

    /// The leader of the current term, if this controller leads and may act now.
    pub(super) fn active_leader(&self) -> Option<Arc<dyn TermLeader>> {
        match self.role() {
            Role::Leading(active_leader) if active_leader.may_act() => Some(active_leader),
            _ => None,
        }
    }

    /// Records that the stall detector's timer fired.
    pub fn stall_timer_fired(&self, now: Instant) {
        self.stall_detector.timer_fired(now);
    }

    /// Checks whether the process was paused, and if so notifies the leader of the term in
    /// this process. Has to be called before anything is concluded from recent messages or
    /// from their absence.
    pub fn check_for_stall(&self) {
        let now = Instant::now();
        let Some(pause) = self.stall_detector.take_stall(now) else {
            return;
        };
        info!(pause_s = pause.as_secs_f64(), "process resumed after a pause");
        if let Role::Leading(active_leader) = self.role() {
            active_leader.resumed_after_pause(now);
        }
    }
}
