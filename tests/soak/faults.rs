//! Faults and their schedules, drawn from a seed.
#![allow(dead_code)]

use std::str::FromStr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// What may go wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A controller ends and is back at once.
    KillBriefly,
    /// A controller ends and is back after the fault.
    Kill,
    /// All controllers end and are back after the fault.
    KillAll,
    /// A controller process is stopped (SIGSTOP) while its clocks run on.
    Pause,
    /// The state service refuses one controller.
    StateRefuses,
    /// The state service refuses everybody.
    StateOut,
    /// Some transactions get no response and are carried out late.
    LateWrites,
    /// No machine takes direct commands; responses to heartbeats reach them.
    NoCommands,
    /// No machine sends heartbeats; direct commands reach them.
    NoHeartbeats,
    /// No machine reaches one of the controllers.
    ControllerUnreachable,
    /// Some machines hang.
    Hang,
    /// Copies of heartbeats arrive late.
    LateHeartbeats,
    /// The links of a controller to the others are refused.
    PeersRefuse,
    /// The links of a controller to the others deliver nothing until the fault ends.
    PeersHold,
    /// The links of a controller to the others are slow.
    PeersDelay,
    /// The state service refuses some transactions for their rate.
    RateRefused,
}

/// All faults, by the names that the command takes.
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

/// Which controller a fault concerns, where it concerns one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    Leader,
    Controller(usize),
}

/// A fault of the schedule, with times since the begin of the run.
#[derive(Debug, Clone, Copy)]
pub struct Planned {
    pub at: Duration,
    pub until: Duration,
    pub fault: Fault,
    pub target: Target,
}

/// Faults at random moments within `length`, up to three at a time.
pub fn schedule(seed: u64, length: Duration, faults: &[Fault]) -> Vec<Planned> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut all = Vec::new();
    let mut at = 2.0;
    while at < length.as_secs_f64() {
        for _ in 0..rng.random_range(1..4) {
            let begin = at + rng.random_range(0.0..1.5);
            let seconds = rng.random_range(0.3..7.0);
            all.push(Planned {
                at: Duration::from_secs_f64(begin),
                until: Duration::from_secs_f64(begin + seconds),
                fault: faults[rng.random_range(0..faults.len())],
                target: match rng.random_range(0..6) {
                    i @ 0..3 => Target::Controller(i),
                    _ => Target::Leader,
                },
            });
        }
        at += rng.random_range(3.0..8.0);
    }
    all.sort_by_key(|planned| planned.at);
    all
}
