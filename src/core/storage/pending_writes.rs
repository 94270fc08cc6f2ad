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

/// Least time between an append to the log and a next one that no start waits for.
const NON_URGENT_APPEND_PAUSE: Duration = Duration::from_millis(800);
/// Most bytes of the log in one transaction, below the protocol's limit of 64 KiB.
const MAX_LOG_BYTES: usize = 44 * 1024;
/// Approximate size of a machine in the log.
const MACHINE_ENTRY_BYTES: usize = 90;
/// Approximate size of the start of a task in the log.
const START_ENTRY_BYTES: usize = 50;
/// Approximate size of a done task in the log.
const DONE_TASK_BYTES: usize = 6;
/// Least time between two writes of the teams' ratios.
const MIN_RATIOS_INTERVAL: Duration = Duration::from_secs(3);

/// A write to the state service that is due.
#[derive(Debug, Clone)]
pub enum PendingWrite {
    /// Segments of the write-ahead log.
    Append(LogAppend),
    /// A job's final state, which replaces the record of the unfinished job.
    Final {
        /// Id of the job that has ended.
        id: JobId,
        /// The record that is written.
        record: FinalRecord,
        /// The job is done and other jobs depend on it, so the write is urgent.
        has_dependents: bool,
    },
    /// The teams' run-to-estimate ratios (Last Model).
    Ratios(BTreeMap<String, f64>),
}

impl PendingWrite {
    /// The changes in the state service that this write consists of.
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
    /// Takes the writes that are due now. Each is taken once; the caller reports its end
    /// to [`ClusterModel::write_finished`].
    pub fn take_due_writes(&mut self, now: Instant) -> Vec<PendingWrite> {
        let mut writes = Vec::new();
        writes.extend(self.take_log_append(now).map(PendingWrite::Append));
        self.stop_tasks_of_cancelled_jobs(now);
        self.add_final_writes(&mut writes, now);
        writes.extend(self.take_run_time_ratios(now).map(PendingWrite::Ratios));
        writes
    }

    /// Adds the final states of the jobs that have ended to `writes`, and updates the
    /// run-to-estimate ratios of their teams by those that are done.
    fn add_final_writes(&mut self, writes: &mut Vec<PendingWrite>, now: Instant) {
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

    /// How many final states of cancelled jobs may be taken in addition to those that are
    /// being written. A long chain of dependent jobs is cancelled at once, and its many
    /// final states must not delay the log.
    fn max_new_cancelled_states(&self) -> usize {
        let pending = self
            .jobs
            .values()
            .filter(|job| job.final_write_pending && job.cancelled)
            .count();
        self.config.max_transaction_changes.max(2).saturating_sub(pending)
    }

    /// Takes the teams' ratios if they have changed, at most once per
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

    /// As many of the ratios as fit into one value. Run times of a team without a ratio are
    /// predicted from its estimates.
    fn ratios_that_fit(&self) -> BTreeMap<String, f64> {
        let bytes = |entry: &(&String, &f64)| serde_json::to_string(entry).map_or(0, |text| text.len());
        let mut left = self.config.max_value_bytes;
        let fitting = self.run_time_ratios.iter().take_while(|entry| {
            left = left.saturating_sub(bytes(entry));
            left > 0
        });
        fitting.map(|(team, ratio)| (team.clone(), *ratio)).collect()
    }

    /// Stops tasks that may be left of jobs whose cancellation is stored, such as those
    /// cancelled with a job that they depend on. Of the latter no task is placed, unless a
    /// version that doesn't know of dependencies led meanwhile.
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

    /// Approximate size of the log entries that are still true.
    fn live_log_bytes(&self) -> usize {
        let slots: usize = self.machines.values().map(|machine| machine.slots.len()).sum();
        let done: usize = self.jobs.values().map(|job| job.done.count() as usize).sum();
        self.machines.len() * MACHINE_ENTRY_BYTES + slots * START_ENTRY_BYTES + done * DONE_TASK_BYTES
    }

    /// Records that a write has ended, and whether it is known to be stored: one that
    /// failed may have been executed all the same.
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
                    info!(
                        job = %id,
                        state = ?record.state,
                        "final state of the job is not known to be stored, to be written again"
                    );
                }
            }
            PendingWrite::Append(_) | PendingWrite::Ratios(_) => {}
        }
    }
}

/// The final state of a job that has no task placed; `None` if the job has not ended.
fn final_state(job: &Job) -> Option<JobState> {
    if job.cancellation_is_stored() {
        return Some(JobState::Cancelled);
    }
    (job.is_complete() && !job.cancelled).then_some(JobState::Done)
}

/// The part of a log entry that is still true and that a compaction has to keep.
fn live_part(
    entry: &LogEntry,
    machines: &BTreeMap<MachineId, Machine>,
    jobs: &BTreeMap<JobId, Job>,
) -> Option<LogEntry> {
    match entry {
        LogEntry::Machine(id, address, ..) => machines
            .get(id)
            .is_some_and(|machine| machine.address == *address)
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

/// The run-to-estimate ratio of a finished job. Only tasks that ended `done` count, not
/// failures or stops: a job that fails at once says nothing about run times.
fn run_time_ratio(job: &Job) -> Option<f64> {
    if job.spec.kind == JobKind::Service || job.spec.estimate_s <= 0.0 || job.counted_runs == 0 {
        return None;
    }
    let mean = job.total_run_time.as_secs_f64() / f64::from(job.counted_runs);
    Some((mean / job.spec.estimate_s).max(MIN_RUN_TIME_RATIO))
}
