//! Writes of the model to the state service: which are due, and what follows once they
//! are stored.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tracing::info;

use crate::core::state::dependencies::DependencyOutcome;
use crate::core::state::job::Job;
use crate::core::state::machine::Machine;
use crate::core::state::model::{ClusterModel, MIN_RUN_TIME_RATIO};
use crate::core::storage::atomic_write::AtomicWrite;
use crate::core::storage::record::{self, FinalRecord};
use crate::core::storage::wal::{LogAppend, LogEntry};
use crate::wire::{JobId, JobKind, JobState, MachineId, TaskId};

/// Entries of the log that no start waits for are written at most so often.
const NON_URGENT_APPEND_PAUSE: Duration = Duration::from_millis(800);
/// Bytes of the log in one transaction, below the protocol's 64 KiB.
const MAX_LOG_BYTES: usize = 44 * 1024;
/// Bytes that a machine takes in the log, about.
const MACHINE_ENTRY_BYTES: usize = 90;
/// Bytes that the start of a task takes in the log, about.
const START_ENTRY_BYTES: usize = 50;
/// Bytes that a done task takes in the log, about.
const DONE_TASK_BYTES: usize = 6;
/// Least time between two writes of the teams' ratios.
const MIN_RATIOS_INTERVAL: Duration = Duration::from_secs(3);

/// A write that is due.
#[derive(Debug, Clone)]
pub enum PendingWrite {
    /// Segments of the write-ahead log.
    Append(LogAppend),
    /// A job's final state, in place of its unfinished record.
    Final {
        /// The job.
        id: JobId,
        /// What is written.
        record: FinalRecord,
        /// Other jobs wait for it, so that the write is urgent.
        has_dependents: bool,
    },
    /// The teams' run-to-estimate ratios (Last Model).
    Ratios(BTreeMap<String, f64>),
}

impl PendingWrite {
    /// The changes of the state service that make up this write.
    pub fn to_atomic_write(&self) -> AtomicWrite {
        let put = |v: Result<serde_json::Value, _>| v.ok();
        let changes = match self {
            PendingWrite::Append(a) => a
                .segments
                .iter()
                .map(|(n, v)| (record::segment_key(*n), v.clone()))
                .collect(),
            PendingWrite::Final { id, record, .. } => vec![
                (record::job_key(*id), None),
                (record::final_key(*id), put(serde_json::to_value(record))),
            ],
            PendingWrite::Ratios(r) => vec![(record::RATIOS_KEY.to_owned(), put(serde_json::to_value(r)))],
        };
        AtomicWrite {
            changes,
            absent: Vec::new(),
            urgent: matches!(
                self,
                PendingWrite::Final {
                    has_dependents: true,
                    ..
                }
            ),
        }
    }
}

impl ClusterModel {
    /// Takes the writes that are due now. Each is taken once: its end is reported by
    /// [`ClusterModel::write_finished`].
    pub fn take_due_writes(&mut self, now: Instant) -> Vec<PendingWrite> {
        let mut writes = Vec::new();
        writes.extend(self.take_log_append(now).map(PendingWrite::Append));
        self.stop_tasks_of_cancelled_jobs(now);
        self.take_final_states(&mut writes, now);
        writes.extend(self.take_run_time_ratios(now).map(PendingWrite::Ratios));
        writes
    }

    /// Adds the final states of the jobs that have ended to `writes`, and learns the
    /// run times of those that are done.
    fn take_final_states(&mut self, writes: &mut Vec<PendingWrite>, now: Instant) {
        let mut learned_ratios = Vec::new();
        let mut cancelled_remaining = self.max_new_cancelled_states();
        for (id, job) in &mut self.jobs {
            if job.final_write_pending || !job.places.is_empty() {
                continue;
            }
            let Some(state) = final_state(job) else {
                continue;
            };
            if state == JobState::Cancelled {
                if cancelled_remaining == 0 {
                    continue;
                }
                cancelled_remaining -= 1;
            } else {
                learned_ratios.extend(run_time_ratio(job).map(|ratio| (job.spec.team.clone(), ratio)));
            }
            job.final_write_pending = true;
            writes.push(PendingWrite::Final {
                id: *id,
                record: FinalRecord {
                    state,
                    done: job.done.count(),
                    ended_at: Some(job.unix_time_ms_at(now)),
                },
                has_dependents: state == JobState::Done && self.dependencies.has_dependents(*id),
            });
        }
        for (team, ratio) in learned_ratios {
            self.run_time_ratios.insert(team, ratio);
            self.run_time_ratios_changed = true;
        }
    }

    /// How many cancelled jobs' final states may be taken besides those that are
    /// being written: a long chain is cancelled at once, and its many final states
    /// must not hold up the log.
    fn max_new_cancelled_states(&self) -> usize {
        let pending = self
            .jobs
            .values()
            .filter(|job| job.final_write_pending && job.cancelled)
            .count();
        self.config.max_transaction_changes.max(2).saturating_sub(pending)
    }

    /// Takes the teams' ratios if they changed, at most once in
    /// [`MIN_RATIOS_INTERVAL`].
    fn take_run_time_ratios(&mut self, now: Instant) -> Option<BTreeMap<String, f64>> {
        let is_due = self
            .run_time_ratios_taken_at
            .is_none_or(|taken_at| now >= taken_at + MIN_RATIOS_INTERVAL);
        if !self.run_time_ratios_changed || !is_due {
            return None;
        }
        self.run_time_ratios_changed = false;
        self.run_time_ratios_taken_at = Some(now);
        Some(self.ratios_that_fit())
    }

    /// The ratios, as many as fit into a value: a team without one is predicted
    /// by its estimates.
    fn ratios_that_fit(&self) -> BTreeMap<String, f64> {
        let bytes = |entry: &(&String, &f64)| serde_json::to_string(entry).map_or(0, |text| text.len());
        let mut left = self.config.max_value_bytes;
        let fitting = self.run_time_ratios.iter().take_while(|entry| {
            left = left.saturating_sub(bytes(entry));
            left > 0
        });
        fitting.map(|(team, ratio)| (team.clone(), *ratio)).collect()
    }

    /// Stops what may be left of jobs that were cancelled with one that they need.
    /// They have no tasks, unless a version that knows of no dependencies led
    /// meanwhile.
    fn stop_tasks_of_cancelled_jobs(&mut self, now: Instant) {
        let left = |j: &&Job| j.cancellation_is_stored() && !j.places.is_empty();
        let ids: Vec<JobId> = self.jobs.values().filter(left).map(|j| j.spec.id).collect();
        for id in ids {
            self.cancel(id, now);
        }
    }

    /// Takes an append to the log, if one is due.
    fn take_log_append(&mut self, now: Instant) -> Option<LogAppend> {
        let has_passed = |pause: Duration| {
            self.log_append_taken_at
                .is_none_or(|taken_at| now >= taken_at + pause)
        };
        let may_append = has_passed(self.config.min_log_append_interval);
        if !may_append || !self.log.append_is_due(has_passed(NON_URGENT_APPEND_PAUSE)) {
            return None;
        }
        let value_bytes = self.config.max_value_bytes.max(1);
        let max_segments = (MAX_LOG_BYTES / value_bytes)
            .min(self.config.max_transaction_changes)
            .max(1);
        let live_bytes = self.live_log_bytes();
        let (machines, jobs) = (&self.machines, &self.jobs);
        let append = self
            .log
            .take_append(max_segments, live_bytes, |entry| live_part(entry, machines, jobs))?;
        self.log_append_taken_at = Some(now);
        Some(append)
    }

    /// About how many bytes of the log say what is still true.
    fn live_log_bytes(&self) -> usize {
        let slots: usize = self.machines.values().map(|machine| machine.slots.len()).sum();
        let done: usize = self.jobs.values().map(|job| job.done.count() as usize).sum();
        self.machines.len() * MACHINE_ENTRY_BYTES + slots * START_ENTRY_BYTES + done * DONE_TASK_BYTES
    }

    /// A write is stored, or was not.
    pub fn write_finished(&mut self, write: &PendingWrite, stored: bool, now: Instant) {
        match write {
            PendingWrite::Append(append) if stored => self.log.append_stored(append),
            PendingWrite::Final { id, record, .. } => {
                if stored {
                    let outcome = match record.state {
                        JobState::Cancelled => DependencyOutcome::Cancelled,
                        _ => DependencyOutcome::Done(Some(now)),
                    };
                    self.resolve_dependency(*id, outcome);
                    self.remove_job(*id);
                } else if let Some(job) = self.jobs.get_mut(id) {
                    job.final_write_pending = false;
                    info!(job = %id, state = ?record.state, "its final state is not stored yet");
                }
            }
            PendingWrite::Append(_) | PendingWrite::Ratios(_) => {}
        }
    }
}

/// The final state of a job without any place left; `None`: it has not ended.
fn final_state(job: &Job) -> Option<JobState> {
    if job.cancellation_is_stored() {
        return Some(JobState::Cancelled);
    }
    (job.is_complete() && !job.cancelled).then_some(JobState::Done)
}

/// What of a log entry is still true, to be kept by a compaction.
fn live_part(
    entry: &LogEntry,
    machines: &BTreeMap<MachineId, Machine>,
    jobs: &BTreeMap<JobId, Job>,
) -> Option<LogEntry> {
    match entry {
        LogEntry::Machine(id, addr, ..) => machines
            .get(id)
            .is_some_and(|machine| machine.addr == *addr)
            .then(|| entry.clone()),
        LogEntry::Released(_) => None,
        LogEntry::Start(id, job, attempt, tasks) => {
            let machine = machines.get(id)?;
            let may_be_there = |index: &u32| {
                let task = TaskId {
                    job: *job,
                    index: *index,
                };
                machine
                    .slots
                    .get(&task)
                    .is_some_and(|slot| slot.attempt == *attempt && slot.takes_resources())
            };
            let live: Vec<u32> = tasks.iter().copied().filter(may_be_there).collect();
            (!live.is_empty()).then(|| LogEntry::Start(id.clone(), *job, *attempt, live))
        }
        LogEntry::Done(job, _) => jobs.contains_key(job).then(|| entry.clone()),
        LogEntry::Unknown(_) => Some(entry.clone()),
    }
}

/// The run-to-estimate ratio of a finished job. Only what ended `done` counts,
/// never errors or stops: a job that fails at once says nothing of run times.
fn run_time_ratio(job: &Job) -> Option<f64> {
    if job.spec.kind == JobKind::Service || job.spec.estimate_s <= 0.0 || job.counted_runs == 0 {
        return None;
    }
    let mean = job.total_run_time.as_secs_f64() / f64::from(job.counted_runs);
    Some((mean / job.spec.estimate_s).max(MIN_RUN_TIME_RATIO))
}
