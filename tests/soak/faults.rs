//! Faults and their schedules, drawn from a seed.
#![allow(dead_code)]

use std::str::FromStr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// A fault that a run can inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A controller is killed and restarted at once.
    KillBriefly,
    /// A controller is killed, and restarted when the fault ends.
    Kill,
    /// All controllers are killed, and restarted when the fault ends.
    KillAll,
    /// A controller process is paused (SIGSTOP) while the clocks advance.
    Pause,
    /// The state service refuses the requests of one controller.
    StateRefuses,
    /// The state service refuses all requests.
    StateOut,
    /// Some transactions get no response and are executed late.
    LateWrites,
    /// Every machine refuses commands; those in responses to heartbeats still reach it.
    NoCommands,
    /// No machine sends heartbeats; commands still reach it.
    NoHeartbeats,
    /// No machine reaches one of the controllers.
    ControllerUnreachable,
    /// A third of the machines hang: they send neither responses nor heartbeats.
    Hang,
    /// A copy of each heartbeat arrives late.
    LateHeartbeats,
    /// The links between a controller and the others are closed, and connections refused.
    PeersRefuse,
    /// The links between a controller and the others deliver nothing until the fault ends.
    PeersHold,
    /// The links between a controller and the others are slow.
    PeersDelay,
    /// The state service refuses some transactions with 429, for their rate.
    RateRefused,
}

/// All faults, with their names in `SOAK_FAULTS`.
pub const FAULTS: [(&str, Fault); 16] = [
    ("kill_briefly", Fault::KillBriefly),
    ("kill", Fault::Kill),
    ("kill_all", Fault::KillAll),
    ("pause", Fault::Pause),
    ("state_refuses", Fault::StateRefuses),
    ("state_out", Fault::StateOut),
    ("late_writes", Fault::LateWrites),
    ("no_commands", Fault::NoCommands),
    ("no_reports", Fault::NoHeartbeats),
    ("controller_unheard", Fault::ControllerUnreachable),
    ("hang", Fault::Hang),
    ("late_reports", Fault::LateHeartbeats),
    ("peers_refuse", Fault::PeersRefuse),
    ("peers_hold", Fault::PeersHold),
    ("peers_delay", Fault::PeersDelay),
    ("rate_refused", Fault::RateRefused),
];

impl FromStr for Fault {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let known = FAULTS.iter().find(|(known, _)| *known == name);
        known
            .map(|(_, fault)| *fault)
            .ok_or_else(|| format!("unknown fault `{name}`"))
    }
}

/// The controller that a fault concerns, if it concerns a single one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// The controller that leads when the fault begins, or the first one if none leads.
    Leader,
    Controller(usize),
}

/// A fault of a schedule, with times since the start of the run.
#[derive(Debug, Clone, Copy)]
pub struct ScheduledFault {
    pub begin: Duration,
    pub end: Duration,
    pub fault: Fault,
    pub target: Target,
}

/// Draws a schedule for a run of this length: groups of one to three faults, which may
/// overlap.
pub fn draw_schedule(seed: u64, length: Duration, faults: &[Fault]) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut all = Vec::new();
    let mut at = 2.0;
    while at < length.as_secs_f64() {
        for _ in 0..rng.random_range(1..4) {
            let begin = at + rng.random_range(0.0..1.5);
            let seconds = rng.random_range(0.3..7.0);
            all.push(ScheduledFault {
                begin: Duration::from_secs_f64(begin),
                end: Duration::from_secs_f64(begin + seconds),
                fault: faults[rng.random_range(0..faults.len())],
                target: match rng.random_range(0..6) {
                    i @ 0..3 => Target::Controller(i),
                    _ => Target::Leader,
                },
            });
        }
        at += rng.random_range(3.0..8.0);
    }
    all.sort_by_key(|scheduled| scheduled.begin);
    all
}
