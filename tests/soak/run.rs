//! One run: faults while users send requests, then a time without faults in which all
//! jobs end, then the check of the history.

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

use crate::fault_injection::{apply, heal, FaultPhase};
use crate::faults::{schedule, Fault, Planned, Target};
use crate::history::{Event, History, Violation};
use crate::processes::Processes;
use crate::standins::cloud::TaskEventKind;
use crate::users::Users;

/// Workers' lease, and the time for a cancellation, of the soak's settings.
const LEASE: Duration = Duration::from_secs(5);
pub const CANCEL: Duration = Duration::from_secs(13);
/// How long an ordinary task runs.
const RUN: Duration = Duration::from_millis(900);
/// After the faults, all jobs have to end within this.
const ENDS_WITHIN: Duration = Duration::from_secs(90);

/// CPUs that the limited team may use.
pub const RED_CPUS: f64 = 40.0;

/// A run: its seed, the time under faults, and which faults.
#[derive(Debug, Clone)]
pub struct Plan {
    pub seed: u64,
    pub length: Duration,
    pub workers: usize,
    pub faults: Vec<Fault>,
}

/// The result of a run.
pub struct RunOutcome {
    pub violations: Vec<Violation>,
    /// The largest delay of this process's own timer.
    pub late: Duration,
    pub jobs: usize,
    pub starts: usize,
    pub schedule: Vec<Planned>,
    pub folder: PathBuf,
}

/// Watches this process's own timer; the largest delay so far.
fn watch_own_clock() -> Arc<Mutex<Duration>> {
    let latest = Arc::new(Mutex::new(Duration::ZERO));
    let shared = latest.clone();
    tokio::spawn(async move {
        let tick = Duration::from_millis(100);
        loop {
            let began = Instant::now();
            sleep(tick).await;
            let late = began.elapsed().saturating_sub(tick);
            let mut latest = shared.lock();
            *latest = late.max(*latest);
        }
    });
    latest
}

fn settings(text: String) -> String {
    text.replace("report_s = 3.0", "report_s = 0.5")
        .replace("lease_s = 20.0", &format!("lease_s = {}.0", LEASE.as_secs()))
        .replace("cancel_s = 40.0", &format!("cancel_s = {}.0", CANCEL.as_secs()))
}

/// The begin or end of a fault of the schedule, by its index there.
struct FaultChange {
    at: Duration,
    number: usize,
    phase: FaultPhase,
}

/// Plays the faults while users send requests.
async fn under_faults(processes: &mut Processes, users: &Arc<Users>, plan: &Plan, schedule: &[Planned]) {
    let mut changes = Vec::new();
    for (number, planned) in schedule.iter().enumerate() {
        changes.push(FaultChange {
            at: planned.at,
            number,
            phase: FaultPhase::Begin,
        });
        changes.push(FaultChange {
            at: planned.until.min(plan.length),
            number,
            phase: FaultPhase::End,
        });
    }
    // The controller of each fault: for the leader, who led when it began.
    let mut targets = BTreeMap::new();
    changes.sort_by_key(|change| change.at);
    let mut changes = changes.into_iter().peekable();
    let mut next_user = Duration::ZERO;
    let mut arrivals = StdRng::seed_from_u64(plan.seed ^ 0x5eed);
    while users.began.elapsed() < plan.length {
        let now = users.began.elapsed();
        while let Some(change) = changes.next_if(|change| change.at <= now) {
            let planned = &schedule[change.number];
            let controller = *targets
                .entry(change.number)
                .or_insert_with(|| match planned.target {
                    Target::Controller(i) => i,
                    Target::Leader => processes.site.leader().unwrap_or(0),
                });
            apply(processes, planned.fault, controller, change.phase);
        }
        if next_user <= now {
            next_user = now + Duration::from_secs_f64(arrivals.random_range(0.1..0.7));
            tokio::spawn(users.clone().run_one(arrivals.random()));
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Without faults: cancels the endless jobs and waits until all jobs have ended.
async fn wait_for_end(users: &Arc<Users>) {
    let began = Instant::now();
    let mut cancelled = 0;
    loop {
        // Read before unfinished jobs are counted: a job may be accepted meanwhile.
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
        if all_ended && cancelled == users.endless.lock().len() || began.elapsed() > ENDS_WITHIN {
            break;
        }
        sleep(Duration::from_secs(1)).await;
    }
    // Tasks of cancelled jobs have so long to stop.
    sleep(Duration::from_secs(2)).await;
    users.stopped.store(true, Ordering::Relaxed);
    sleep(Duration::from_millis(1500)).await;
}

fn history_of(users: &Users, processes: &Processes) -> History {
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
        team_cpus: BTreeMap::from([("red".to_owned(), RED_CPUS)]),
        cancel: CANCEL,
        events,
        end: users.began.elapsed(),
    }
}

/// Violations that the program logged itself, and controllers that exited unkilled.
fn violations_of_processes(processes: &mut Processes) -> Vec<Violation> {
    let mut found = Vec::new();
    for i in 0..3 {
        let text = std::fs::read_to_string(processes.log_file(i)).unwrap_or_default();
        let violated = text.lines().filter(|line| line.contains("invariant violated"));
        found.extend(violated.map(|line| Violation {
            rule: "invariant",
            evidence: line.to_owned(),
        }));
        if processes.ended_by_itself(i) {
            let evidence = format!("heron-{i} ended by itself");
            found.push(Violation {
                rule: "ended",
                evidence,
            });
        }
    }
    found
}

/// Plays a plan and checks its history.
pub async fn play(plan: &Plan) -> RunOutcome {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{}", plan.seed));
    let _ = std::fs::remove_dir_all(&folder);
    let mut processes = Processes::start(folder.clone(), RUN, settings).await;
    let cloud = processes.site.cloud.clone();
    cloud.set_worker_lease(LEASE);
    for i in 0..plan.workers {
        cloud
            .boot(if i % 2 == 0 { "north" } else { "south" }, i % 3 == 0)
            .await;
    }
    let late = watch_own_clock();
    let users = Arc::new(Users {
        api: processes.site.api_addrs.clone(),
        cloud: cloud.clone(),
        began: Instant::now(),
        events: Mutex::default(),
        jobs: Mutex::default(),
        endless: Mutex::default(),
        stopped: AtomicBool::new(false),
        submitting: AtomicUsize::new(0),
        next: AtomicU64::new(1),
    });
    let schedule = schedule(plan.seed, plan.length, &plan.faults);
    under_faults(&mut processes, &users, plan, &schedule).await;
    heal(&mut processes);
    let _ = timeout(ENDS_WITHIN * 2, wait_for_end(&users)).await;
    let history = history_of(&users, &processes);
    let mut violations = history.violations();
    violations.extend(violations_of_processes(&mut processes));
    let late = *late.lock();
    RunOutcome {
        violations,
        late,
        jobs: history.jobs.len(),
        starts: processes.site.cloud.events().len(),
        schedule,
        folder,
    }
}
