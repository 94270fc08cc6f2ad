//! Three controllers of which two believe to lead, their state service, workers and
//! a client who cancels a job, each with clocks of their own, on simulated time.

mod leaders;
mod messages;
mod play;
mod times;
mod workers;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use bitternfold::core::evidence::authority::{ClockReading, CANCELLATION_MARGIN};
use bitternfold::core::storage::record::JobRecord;
use bitternfold::core::SchedulerConfig;
use bitternfold::settings::OperatorSettings;
use bitternfold::wire::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::support::*;
use crate::worker::Worker;
use leaders::Leader;
use messages::Message;
pub use times::{any_times, Times};
use workers::Reporting;

/// Simulated time passes in steps of this.
const STEP: Duration = Duration::from_millis(100);
/// Until then the site runs without faults.
const FAULTS_FROM: Duration = Duration::from_secs(20);
/// The number of the only job.
const JOB: u32 = 1;
const CONTROLLERS: usize = 3;
const MACHINES: usize = 4;
/// Whose clock each of `drift` belongs to: controllers, then workers, then this.
const STATE_SERVICE_CLOCK: usize = CONTROLLERS + MACHINES;

/// A leader's lease, as the state service knows it.
struct StateLease {
    holder: usize,
    /// By the clock of the state service.
    expires: Instant,
}

/// A pause of a controller's process.
struct Pause {
    controller: usize,
    until: Duration,
}

/// The site. Controllers and machines are named by their index.
pub struct SimulatedSite {
    times: Times,
    rng: StdRng,
    config: Arc<SchedulerConfig>,
    base: Instant,
    now: Duration,
    /// Error of the time of day.
    clock_error: Duration,
    /// Relative errors of the clocks of controllers, workers and the state service.
    drift: Vec<f64>,
    leaders: [Option<Leader>; CONTROLLERS],
    /// The latest term.
    term: u64,
    lease: Option<StateLease>,
    /// The controller that the state service refuses.
    refused: Option<usize>,
    /// Whether the state service refuses everybody.
    outage: bool,
    stored_jobs: BTreeMap<JobId, JobRecord>,
    wal: BTreeMap<u64, serde_json::Value>,
    workers: Vec<Worker>,
    reporting: Vec<Reporting>,
    pause: Option<Pause>,
    /// For how long each controller's steady clock was paused.
    clock_paused: [Duration; CONTROLLERS],
    /// Messages and when they arrive.
    in_transit: Vec<(Duration, Message)>,
    /// When the cancellation was confirmed to the client.
    confirmed: Option<Duration>,
}

impl SimulatedSite {
    /// A site none of whose controllers leads yet.
    pub fn new(times: Times, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut deployment = deployment();
        let settings = &mut deployment.cluster.workers;
        settings.heartbeat_interval = Duration::from_secs_f64(times.heartbeat_interval);
        settings.lease = Duration::from_secs_f64(times.worker_lease);
        settings.cancel_deadline =
            settings.lease + CANCELLATION_MARGIN + Duration::from_secs_f64(times.cancel_slack);
        let base = start();
        Self {
            clock_error: Duration::from_secs_f64(times.clock_error),
            drift: (0..=STATE_SERVICE_CLOCK)
                .map(|_| rng.random_range(-0.0005..0.0005))
                .collect(),
            rng,
            config: Arc::new(SchedulerConfig::new(&deployment, OperatorSettings::default())),
            base,
            now: Duration::ZERO,
            leaders: [None, None, None],
            term: 0,
            lease: None,
            refused: None,
            outage: false,
            stored_jobs: BTreeMap::new(),
            wal: BTreeMap::new(),
            workers: (0..MACHINES)
                .map(|i| Worker::new(&format!("i-{i}"), false, base))
                .collect(),
            reporting: vec![Reporting::default(); MACHINES],
            pause: None,
            clock_paused: [Duration::ZERO; CONTROLLERS],
            in_transit: Vec::new(),
            confirmed: None,
            times,
        }
    }

    /// The time by one's own steady clock; see [`STATE_SERVICE_CLOCK`].
    fn clock(&self, whose: usize) -> Instant {
        let paused = self.clock_paused.get(whose).copied().unwrap_or_default();
        self.base + (self.now - paused).mul_f64(1.0 + self.drift[whose])
    }

    fn worker_clock(&self, machine: usize) -> Instant {
        self.clock(CONTROLLERS + machine)
    }

    /// What a worker's clock showed at a moment of simulated time.
    fn worker_clock_at(&self, machine: usize, moment: Duration) -> Instant {
        self.base + moment.mul_f64(1.0 + self.drift[CONTROLLERS + machine])
    }

    /// Both clocks of a controller. The time of day wanders within its error.
    fn clocks(&mut self, controller: usize) -> ClockReading {
        let error = self.clock_error.as_secs_f64();
        let off = self.rng.random_range(0.0..=2.0 * error);
        ClockReading {
            steady: self.clock(controller),
            time_of_day: SystemTime::UNIX_EPOCH + self.now + Duration::from_secs_f64(off),
        }
    }

    /// Whether the state service responds to a controller; ends a lease that has expired.
    fn state_service_responds(&mut self, controller: usize) -> bool {
        if self.outage {
            return false;
        }
        let now = self.clock(STATE_SERVICE_CLOCK);
        self.lease.take_if(|lease| now >= lease.expires);
        self.refused != Some(controller)
    }

    fn is_paused(&self, controller: usize) -> bool {
        let pause = self.pause.as_ref();
        pause.is_some_and(|pause| pause.controller == controller && self.now < pause.until)
    }
}
