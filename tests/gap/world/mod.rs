//! A simulated site on simulated time: three controllers, two of which believe that they
//! lead, the state service, workers, and a user who cancels a job. The controllers, the
//! workers and the state service each have a clock of their own.

mod leaders;
mod messages;
mod run;
mod scenario;
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
pub use scenario::{any_scenario, Scenario};
use workers::Reporting;

/// Length of a step of simulated time.
const TIME_STEP: Duration = Duration::from_millis(100);
/// How long the site runs without faults at first.
const FAULT_FREE_PERIOD: Duration = Duration::from_secs(20);
/// The number of the only job.
const JOB: u32 = 1;
const CONTROLLERS: usize = 3;
const MACHINES: usize = 4;
/// Index of the state service's clock in `drift`, after those of the controllers and the
/// workers.
const STATE_SERVICE_CLOCK: usize = CONTROLLERS + MACHINES;

/// The leader's lease, as the state service knows it.
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

/// The site. Controllers and machines are given by their index.
pub struct SimulatedSite {
    scenario: Scenario,
    rng: StdRng,
    config: Arc<SchedulerConfig>,
    /// What every steady clock showed at the start of the run.
    base: Instant,
    /// Simulated time since the start of the run.
    now: Duration,
    /// Largest error of the time of day.
    clock_error: Duration,
    /// Relative errors of the clocks of controllers, workers and the state service.
    drift: Vec<f64>,
    leaders: [Option<Leader>; CONTROLLERS],
    /// The latest term.
    term: u64,
    leader_lease: Option<StateLease>,
    /// The controller whose requests the state service refuses.
    refused_controller: Option<usize>,
    /// Whether the state service refuses all controllers.
    outage: bool,
    stored_jobs: BTreeMap<JobId, JobRecord>,
    wal: BTreeMap<u64, serde_json::Value>,
    workers: Vec<Worker>,
    reporting: Vec<Reporting>,
    pause: Option<Pause>,
    /// How long each controller's steady clock was paused in total.
    clock_paused: [Duration; CONTROLLERS],
    /// Messages with the time at which they arrive.
    in_flight: Vec<(Duration, Message)>,
    /// When the cancellation was confirmed to the user.
    confirmed_at: Option<Duration>,
}

impl SimulatedSite {
    /// A site without a leader.
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut deployment = deployment_settings();
        let settings = &mut deployment.cluster.workers;
        settings.heartbeat_interval = Duration::from_secs_f64(scenario.heartbeat_interval);
        settings.lease = Duration::from_secs_f64(scenario.worker_lease);
        settings.cancel_deadline =
            settings.lease + CANCELLATION_MARGIN + Duration::from_secs_f64(scenario.cancel_slack);
        let base = start();
        Self {
            clock_error: Duration::from_secs_f64(scenario.clock_error),
            drift: (0..=STATE_SERVICE_CLOCK)
                .map(|_| rng.random_range(-0.0005..0.0005))
                .collect(),
            rng,
            config: Arc::new(SchedulerConfig::new(&deployment, OperatorSettings::default())),
            base,
            now: Duration::ZERO,
            leaders: [None, None, None],
            term: 0,
            leader_lease: None,
            refused_controller: None,
            outage: false,
            stored_jobs: BTreeMap::new(),
            wal: BTreeMap::new(),
            workers: (0..MACHINES)
                .map(|i| Worker::new(&format!("i-{i}"), false, base))
                .collect(),
            reporting: vec![Reporting::default(); MACHINES],
            pause: None,
            clock_paused: [Duration::ZERO; CONTROLLERS],
            in_flight: Vec::new(),
            confirmed_at: None,
            scenario,
        }
    }

    /// What a steady clock shows now. `index` counts controllers, then workers, then the
    /// state service, as in `drift`.
    fn clock(&self, index: usize) -> Instant {
        let paused = self.clock_paused.get(index).copied().unwrap_or_default();
        self.base + (self.now - paused).mul_f64(1.0 + self.drift[index])
    }

    fn worker_clock(&self, machine: usize) -> Instant {
        self.clock(CONTROLLERS + machine)
    }

    /// What a worker's clock showed at a moment of simulated time.
    fn worker_clock_at(&self, machine: usize, moment: Duration) -> Instant {
        self.base + moment.mul_f64(1.0 + self.drift[CONTROLLERS + machine])
    }

    /// Reads both clocks of a controller. The time of day is off by a random amount; two
    /// readings differ by at most twice its error.
    fn read_clocks(&mut self, controller: usize) -> ClockReading {
        let error = self.clock_error.as_secs_f64();
        let offset_s = self.rng.random_range(0.0..=2.0 * error);
        ClockReading {
            steady: self.clock(controller),
            time_of_day: SystemTime::UNIX_EPOCH + self.now + Duration::from_secs_f64(offset_s),
        }
    }

    /// Whether the state service responds to a controller. Ends the leader's lease if it has
    /// expired.
    fn state_service_responds(&mut self, controller: usize) -> bool {
        if self.outage {
            return false;
        }
        let now = self.clock(STATE_SERVICE_CLOCK);
        self.leader_lease.take_if(|lease| now >= lease.expires);
        self.refused_controller != Some(controller)
    }

    fn is_paused(&self, controller: usize) -> bool {
        let pause = self.pause.as_ref();
        pause.is_some_and(|pause| pause.controller == controller && self.now < pause.until)
    }
}
