//! Three controllers of which two believe to lead, their state service, workers and
//! a user who cancels a job, each with clocks of their own, on simulated time.

mod leaders;
mod mail;
mod play;
mod times;
mod workers;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use bitternfold::core::evidence::authority::{ClockReading, MARGIN};
use bitternfold::core::storage::record::JobRecord;
use bitternfold::core::SchedulerConfig;
use bitternfold::settings::OperatorSettings;
use bitternfold::wire::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::support::*;
use crate::worker::Worker;
use leaders::Leader;
use mail::Mail;
pub use times::{any_times, Times};

const TICK: Duration = Duration::from_millis(100);

const JOB: u32 = 1;

pub struct World {
    times: Times,
    rng: StdRng,
    config: Arc<SchedulerConfig>,
    base: Instant,
    now: Duration,
    /// Error of the time of day.
    clock_error: Duration,
    /// Clocks of controllers, workers and the state service.
    drift: Vec<f64>,
    leaders: [Option<Leader>; 3],
    term: u64,
    /// Whose lease of the state service lives, and until when by its clock.
    held: Option<(usize, Instant)>,
    refused: Option<usize>,
    out: bool,
    jobs: BTreeMap<JobId, JobRecord>,
    wal: BTreeMap<u64, serde_json::Value>,
    workers: Vec<Worker>,
    /// Where each reports, when next, and until when it hangs.
    to: Vec<(usize, Duration, Duration)>,
    frozen: Option<(usize, Duration)>,
    /// For how long each controller's steady clock has stood still.
    clock_stood: [Duration; 3],
    mail: Vec<(Duration, Mail)>,
    confirmed: Option<Duration>,
}

impl World {
    /// Four workers, three controllers, none of which leads yet.
    pub fn new(times: Times, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut deployment = deployment();
        let w = &mut deployment.cluster.workers;
        w.heartbeat_interval = Duration::from_secs_f64(times.report);
        w.lease = Duration::from_secs_f64(times.lease);
        w.cancel_within = w.lease + MARGIN + Duration::from_secs_f64(times.spare);
        let base = start();
        Self {
            clock_error: Duration::from_secs_f64(times.clock_error),
            drift: (0..8).map(|_| rng.random_range(-0.0005..0.0005)).collect(),
            rng,
            config: Arc::new(SchedulerConfig::new(&deployment, OperatorSettings::default())),
            base,
            now: Duration::ZERO,
            leaders: [None, None, None],
            term: 0,
            held: None,
            refused: None,
            out: false,
            jobs: BTreeMap::new(),
            wal: BTreeMap::new(),
            workers: (0..4)
                .map(|i| Worker::new(&format!("i-{i}"), false, base))
                .collect(),
            to: vec![(0, Duration::ZERO, Duration::ZERO); 4],
            frozen: None,
            clock_stood: [Duration::ZERO; 3],
            mail: Vec::new(),
            confirmed: None,
            times,
        }
    }

    /// The time by one's own clock: controllers, then workers, then the state service.
    pub(super) fn clock(&self, who: usize) -> Instant {
        let stood = self.clock_stood.get(who).copied().unwrap_or_default();
        self.base + (self.now - stood).mul_f64(1.0 + self.drift[who])
    }

    /// Both clocks of a controller. The time of day wanders within its error.
    pub(super) fn clocks(&mut self, who: usize) -> ClockReading {
        let error = self.clock_error.as_secs_f64();
        let off = self.rng.random_range(0.0..=2.0 * error);
        ClockReading {
            steady: self.clock(who),
            time_of_day: SystemTime::UNIX_EPOCH + self.now + Duration::from_secs_f64(off),
        }
    }

    /// Whether the state service answers a controller; ends leases that are over.
    pub(super) fn state(&mut self, who: usize) -> bool {
        if self.out {
            return false;
        }
        let now = self.clock(7);
        self.held = self.held.filter(|h| now < h.1);
        self.refused != Some(who)
    }

    pub(super) fn stands_still(&self, who: usize) -> bool {
        self.frozen.is_some_and(|(f, until)| f == who && self.now < until)
    }

    pub(super) fn live(&self) -> usize {
        let tasks = self.workers.iter().flat_map(|w| w.tasks.values());
        tasks.filter(|task| task.is_live()).count()
    }
}
