//! Who leads, and in which term, as far as this controller knows.

use std::sync::Arc;
use std::time::Instant;

use tracing::info;

use crate::peer::KnownLeader;

use super::term_leader::TermLeader;
use super::Controller;

/// Who leads, as far as is known here.
#[derive(Debug, Clone)]
pub enum Role {
    /// Nobody is known to lead.
    Unknown,
    /// Another controller leads.
    Following {
        /// Its name.
        host: String,
        /// The term that it was elected for.
        term: u64,
    },
    /// This controller leads, or did so until a moment ago.
    Leading(Arc<dyn TermLeader>),
}

impl Controller {
    /// Who leads, as far as is known.
    pub fn role(&self) -> Role {
        self.role.lock().clone()
    }

    /// Replaces what is known of who leads.
    pub fn set_role(&self, role: Role) {
        *self.role.lock() = role;
    }

    /// The highest term known.
    pub fn known_term(&self) -> u64 {
        *self.term.lock()
    }

    /// Records that a term exists. A leader of an older one steps down.
    pub fn observe_term(&self, term: u64) {
        {
            let mut known = self.term.lock();
            if term <= *known {
                return;
            }
            *known = term;
        }
        if let Role::Leading(active_leader) = self.role() {
            if active_leader.term() < term {
                info!(
                    term = active_leader.term(),
                    newer = term,
                    "another leads in a newer term"
                );
                active_leader.end();
            }
        }
    }

    /// The latest leader known here.
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

    /// Follows a leader that another controller named, unless a newer one or a newer term is
    /// known here. A controller that can't read the state service still finds the leader so.
    pub fn observe_leader(&self, leader: Option<KnownLeader>) {
        let Some(KnownLeader { term, host }) = leader.filter(|leader| leader.host != self.host()) else {
            return;
        };
        let mut role = self.role.lock();
        let newer = match &*role {
            Role::Unknown => true,
            Role::Following { term: known, .. } => term > *known,
            Role::Leading(_) => false,
        };
        if newer && term >= self.known_term() {
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

    /// The timer that the stall detector watches has fired.
    pub fn stall_timer_fired(&self, now: Instant) {
        self.stall_detector.timer_fired(now);
    }

    /// Detects that the process was paused, and lets the leader know. Called wherever
    /// something is about to be concluded from messages of late, or from their absence.
    pub fn check_for_stall(&self) {
        let now = Instant::now();
        let Some(pause) = self.stall_detector.take_stall(now) else {
            return;
        };
        info!(for_s = pause.as_secs_f64(), "this process was paused");
        if let Role::Leading(active_leader) = self.role() {
            active_leader.resumed_after_pause(now);
        }
    }
}
