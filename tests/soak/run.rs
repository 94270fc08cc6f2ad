//! One soak run: a phase with faults while users send requests, then a phase without
//! faults in which all jobs have to end, then the check of the recorded history.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bitternfold::wire::{JobId, JobState};
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::{sleep, timeout};

use crate::fault_injection::{apply, end_all_faults, FaultPhase};
use crate::faults::{draw_schedule, Fault, ScheduledFault, Target};
use crate::history::{Event, History, Violation};
use crate::processes::Processes;
use crate::standins::cloud::TaskEventKind;
use crate::users::Users;

/// Lifetime of a worker's lease (`lease_s`).
const WORKER_LEASE: Duration = Duration::from_secs(5);
/// Time within which a cancelled job's tasks have to end (`cancel_s`).
pub const CANCEL_DEADLINE: Duration = Duration::from_secs(13);
/// How long a task runs, unless its job is endless.
const TASK_DURATION: Duration = Duration::from_millis(900);
/// Time within which all jobs have to end after the faults.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(90);

/// Quota of the team `red` in CPUs; no other team has one.
pub const RED_TEAM_CPUS: f64 = 40.0;

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct RunConfig {
    pub seed: u64,
    /// Time under faults.
    pub length: Duration,
    pub workers: usize,
    /// Faults that the schedule is drawn from.
    pub faults: Vec<Fault>,
}

/// The result of a run.
pub struct RunOutcome {
    pub violations: Vec<Violation>,
    /// The largest delay of this process's own timer.
    pub max_timer_delay: Duration,
    pub jobs: usize,
    /// Number of starts and ends of tasks.
    pub task_events: usize,
    pub schedule: Vec<ScheduledFault>,
    /// Folder of the controllers' settings and logs.
    pub folder: PathBuf,
}

/// Starts to measure the delays of this process's own timer; the result holds the largest
/// one so far.
fn measure_timer_delay() -> Arc<Mutex<Duration>> {
    let max_delay = Arc::new(Mutex::new(Duration::ZERO));
    let shared = max_delay.clone();
    tokio::spawn(async move {
        let tick = Duration::from_millis(100);
        loop {
            let began = Instant::now();
            sleep(tick).await;
            let delay = began.elapsed().saturating_sub(tick);
            let mut max_delay = shared.lock();
            *max_delay = delay.max(*max_delay);
        }
    });
    max_delay
}

/// Changes the default settings to the shorter timings of the soak.
fn shorten_timings(text: String) -> String {
    text.replace("report_s = 3.0", "report_s = 0.5")
        .replace(
            "lease_s = 20.0",
            &format!("lease_s = {}.0", WORKER_LEASE.as_secs()),
        )
        .replace(
            "cancel_s = 40.0",
            &format!("cancel_s = {}.0", CANCEL_DEADLINE.as_secs()),
        )
}

/// The beginning or end of the fault with this index in the schedule.
struct FaultChange {
    at: Duration,
    index: usize,
    phase: FaultPhase,
}

/// Injects the faults of the schedule while users send requests.
async fn run_fault_phase(
    processes: &mut Processes,
    users: &Arc<Users>,
    config: &RunConfig,
    schedule: &[ScheduledFault],
) {
    let mut changes = Vec::new();
    for (index, scheduled) in schedule.iter().enumerate() {
        changes.push(FaultChange {
            at: scheduled.begin,
            index,
            phase: FaultPhase::Begin,
        });
        changes.push(FaultChange {
            at: scheduled.end.min(config.length),
            index,
            phase: FaultPhase::End,
        });
    }
    // The controller that each fault concerns. A fault of the leader ends at the controller
    // that led when the fault began.
    let mut targets = BTreeMap::new();
    changes.sort_by_key(|change| change.at);
    let mut changes = changes.into_iter().peekable();
    let mut next_arrival = Duration::ZERO;
    let mut arrivals = StdRng::seed_from_u64(config.seed ^ 0x5eed);
    while users.began.elapsed() < config.length {
        let now = users.began.elapsed();
        while let Some(change) = changes.next_if(|change| change.at <= now) {
            let scheduled = &schedule[change.index];
            let controller = *targets
                .entry(change.index)
                .or_insert_with(|| match scheduled.target {
                    Target::Controller(i) => i,
                    Target::Leader => processes.site.leader().unwrap_or(0),
                });
            apply(processes, scheduled.fault, controller, change.phase);
        }
        if next_arrival <= now {
            next_arrival = now + Duration::from_secs_f64(arrivals.random_range(0.1..0.7));
            tokio::spawn(users.clone().run_user(arrivals.random()));
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Without faults: cancels the endless jobs and waits until all jobs have ended.
async fn wait_until_jobs_end(users: &Arc<Users>) {
    let began = Instant::now();
    let mut cancelled = 0;
    loop {
        // Loaded before unfinished jobs are counted, as a job may be accepted meanwhile.
        let submitting = users.submitting.load(Ordering::Relaxed);
        let endless: Vec<JobId> = users.endless.lock().clone();
        for job in &endless[cancelled..] {
            users.cancel(*job, 0).await;
        }
        cancelled = endless.len();
        let jobs: Vec<JobId> = users.jobs.lock().keys().copied().collect();
        let mut unfinished = 0;
        for (i, job) in jobs.iter().enumerate() {
            let state = users.poll(*job, i % 3).await;
            unfinished += usize::from(matches!(state, None | Some(JobState::Queued | JobState::Running)));
        }
        let all_ended = submitting == 0 && unfinished <= jobs.len() - users.accepted().len();
        if all_ended && cancelled == users.endless.lock().len() || began.elapsed() > DRAIN_TIMEOUT {
            break;
        }
        sleep(Duration::from_secs(1)).await;
    }
    // Gives the tasks of cancelled jobs time to stop.
    sleep(Duration::from_secs(2)).await;
    users.stopped.store(true, Ordering::Relaxed);
    sleep(Duration::from_millis(1500)).await;
}

/// The events that users recorded and those of the tasks, in the order of time.
fn collect_history(users: &Users, processes: &Processes) -> History {
    let mut events = users.events.lock().clone();
    for change in processes.site.cloud.events() {
        let at = change.at.saturating_duration_since(users.began);
        let event = match change.kind {
            TaskEventKind::Started => Event::Started {
                task: change.task,
                machine: change.machine,
                zone: change.zone,
            },
            TaskEventKind::Ended { done } => Event::Ended {
                task: change.task,
                machine: change.machine,
                done,
            },
        };
        events.push((at, event));
    }
    events.sort_by_key(|(at, _)| *at);
    History {
        jobs: users.jobs.lock().clone(),
        team_cpus: BTreeMap::from([("red".to_owned(), RED_TEAM_CPUS)]),
        cancel_deadline: CANCEL_DEADLINE,
        events,
        end: users.began.elapsed(),
    }
}

/// Invariant violations that the controllers logged, and controllers that exited without
/// being killed.
fn check_processes(processes: &mut Processes) -> Vec<Violation> {
    let mut found = Vec::new();
    for i in 0..3 {
        let text = std::fs::read_to_string(processes.log_file(i)).unwrap_or_default();
        let lines = text.lines().filter(|line| line.contains("invariant violated"));
        found.extend(lines.map(|line| Violation {
            rule: "invariant",
            evidence: line.to_owned(),
        }));
        if processes.has_exited_by_itself(i) {
            let evidence = format!("heron-{i} ended by itself");
            found.push(Violation {
                rule: "ended",
                evidence,
            });
        }
    }
    found
}

/// Runs the soak and checks its history.
pub async fn run_soak(config: &RunConfig) -> RunOutcome {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{}", config.seed));
    let _ = std::fs::remove_dir_all(&folder);
    let mut processes = Processes::start(folder.clone(), TASK_DURATION, shorten_timings).await;
    let cloud = processes.site.cloud.clone();
    cloud.set_worker_lease(WORKER_LEASE);
    for i in 0..config.workers {
        cloud
            .boot(if i % 2 == 0 { "north" } else { "south" }, i % 3 == 0)
            .await;
    }
    let max_timer_delay = measure_timer_delay();
    let users = Arc::new(Users {
        api_addrs: processes.site.api_addrs.clone(),
        cloud: cloud.clone(),
        began: Instant::now(),
        events: Mutex::default(),
        jobs: Mutex::default(),
        endless: Mutex::default(),
        stopped: AtomicBool::new(false),
        submitting: AtomicUsize::new(0),
        next_job: AtomicU64::new(1),
    });
    let schedule = draw_schedule(config.seed, config.length, &config.faults);
    run_fault_phase(&mut processes, &users, config, &schedule).await;
    end_all_faults(&mut processes);
    let _ = timeout(DRAIN_TIMEOUT * 2, wait_until_jobs_end(&users)).await;
    let history = collect_history(&users, &processes);
    let mut violations = history.violations();
    violations.extend(check_processes(&mut processes));
    let max_timer_delay = *max_timer_delay.lock();
    RunOutcome {
        violations,
        max_timer_delay,
        jobs: history.jobs.len(),
        task_events: processes.site.cloud.events().len(),
        schedule,
        folder,
    }
}
