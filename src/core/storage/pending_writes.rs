//! What of the model is to be written, and what follows once it is.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tracing::info;

use crate::core::state::dependencies::DependencyOutcome;
use crate::core::state::job::Job;
use crate::core::state::model::{ClusterModel, MIN_RUN_TIME_RATIO};
use crate::core::storage::atomic_write::AtomicWrite;
use crate::core::storage::record::{self, FinalRecord};
use crate::core::storage::wal::{LogAppend, LogEntry};
use crate::wire::{JobId, JobKind, JobState};

/// Entries of the log that no start waits for are written at most so often.
const LOG_PAUSE: Duration = Duration::from_millis(800);
/// Bytes of the log in one transaction, below the protocol's 64 KiB.
const MAX_BYTES: usize = 44 * 1024;

/// A write that is due.
#[derive(Debug, Clone)]
pub enum PendingWrite {
    /// Segments of the write-ahead log.
    WriteAheadLog(LogAppend),
    /// A job's final state.
    Final {
        /// The job.
        id: JobId,
        /// What is written.
        record: FinalRecord,
        /// Other jobs wait for it.
        needed: bool,
    },
    /// The teams' ratios.
    Ratios(BTreeMap<String, f64>),
}

impl PendingWrite {
    /// The changes of the state service.
    pub fn unit(&self) -> AtomicWrite {
        let put = |v: Result<serde_json::Value, _>| v.ok();
        let changes = match self {
            PendingWrite::WriteAheadLog(a) => a
                .segments
                .iter()
                .map(|(n, v)| (record::segment_key(*n), v.clone()))
                .collect(),
            PendingWrite::Final { id, record, .. } => vec![
                (record::job_key(*id), None),
                (record::final_key(*id), put(serde_json::to_value(record))),
            ],
            PendingWrite::Ratios(r) => vec![(record::RATIOS.to_owned(), put(serde_json::to_value(r)))],
        };
        AtomicWrite {
            changes,
            absent: Vec::new(),
            urgent: matches!(self, PendingWrite::Final { needed: true, .. }),
        }
    }
}

impl ClusterModel {
    /// Takes the writes that are due now.
    pub fn take_writes(&mut self, now: Instant) -> Vec<PendingWrite> {
        let mut out = Vec::new();
        let idle = self.log_append_taken_at.is_none_or(|t| now >= t + LOG_PAUSE);
        let paced = self
            .log_append_taken_at
            .is_none_or(|t| now >= t + self.config.log_pause);
        if paced && self.log.wants(idle) {
            out.extend(self.take_log(now).map(PendingWrite::WriteAheadLog));
        }
        let mut learned = Vec::new();
        self.stop_cancelled(now);
        let cancelled_on_their_way = self
            .jobs
            .values()
            .filter(|j| j.final_write_pending && j.cancelled)
            .count();
        let mut cancelled_left = self.config.txn_ops.max(2).saturating_sub(cancelled_on_their_way);
        for (id, job) in &mut self.jobs {
            if job.final_write_pending || !job.places.is_empty() {
                continue;
            }
            let state = if job.cancellation_is_stored() {
                // A long chain is cancelled at once; its many final states must
                // not hold up the log.
                if cancelled_left == 0 {
                    continue;
                }
                cancelled_left -= 1;
                JobState::Cancelled
            } else if job.is_complete() && !job.cancelled {
                learned.extend(ratio(job).map(|r| (job.spec.team.clone(), r)));
                JobState::Done
            } else {
                continue;
            };
            job.final_write_pending = true;
            out.push(PendingWrite::Final {
                id: *id,
                record: FinalRecord {
                    state,
                    done: job.done.count(),
                    ended_at: Some(job.wall_clock(now)),
                },
                needed: state == JobState::Done && self.dependencies.has_dependents(*id),
            });
        }
        for (team, r) in learned {
            self.run_time_ratios.insert(team, r);
            self.run_time_ratios_changed = true;
        }
        if self.run_time_ratios_changed
            && self
                .run_time_ratios_taken_at
                .is_none_or(|t| now >= t + Duration::from_secs(3))
        {
            self.run_time_ratios_changed = false;
            self.run_time_ratios_taken_at = Some(now);
            out.push(PendingWrite::Ratios(self.ratios_that_fit()));
        }
        out
    }

    /// The ratios, as many as fit into a value: a team without one is predicted
    /// by its estimates.
    fn ratios_that_fit(&self) -> BTreeMap<String, f64> {
        let bytes = |entry: &(&String, &f64)| serde_json::to_string(entry).map_or(0, |text| text.len());
        let mut left = self.config.value_bytes;
        let fitting = self.run_time_ratios.iter().take_while(|entry| {
            left = left.saturating_sub(bytes(entry));
            left > 0
        });
        fitting.map(|(team, ratio)| (team.clone(), *ratio)).collect()
    }

    /// Stops what may be left of jobs that were cancelled with one that they need.
    /// They have no tasks, unless a version that knows of no dependencies led
    /// meanwhile.
    fn stop_cancelled(&mut self, now: Instant) {
        let left = |j: &&Job| j.cancellation_is_stored() && !j.places.is_empty();
        let ids: Vec<JobId> = self.jobs.values().filter(left).map(|j| j.spec.id).collect();
        for id in ids {
            self.cancel(id, now);
        }
    }

    fn take_log(&mut self, now: Instant) -> Option<LogAppend> {
        let per = self.config.value_bytes.max(1);
        let most = (MAX_BYTES / per).min(self.config.txn_ops).max(1);
        let slots: usize = self.machines.values().map(|m| m.slots.len()).sum();
        let done: usize = self.jobs.values().map(|j| j.done.count() as usize).sum();
        let live_bytes = self.machines.len() * 90 + slots * 50 + done * 6;
        let (machines, jobs) = (&self.machines, &self.jobs);
        let live = |e: &LogEntry| match e {
            LogEntry::Machine(id, addr, ..) => machines
                .get(id)
                .is_some_and(|m| m.addr == *addr)
                .then(|| e.clone()),
            LogEntry::Released(_) => None,
            LogEntry::Start(id, job, attempt, tasks) => {
                let m = machines.get(id)?;
                let still: Vec<u32> = tasks
                    .iter()
                    .copied()
                    .filter(|i| {
                        let task = crate::wire::TaskId { job: *job, index: *i };
                        m.slots
                            .get(&task)
                            .is_some_and(|s| s.attempt == *attempt && s.takes_room())
                    })
                    .collect();
                (!still.is_empty()).then(|| LogEntry::Start(id.clone(), *job, *attempt, still))
            }
            LogEntry::Done(job, _) => jobs.contains_key(job).then(|| e.clone()),
            LogEntry::Unknown(_) => Some(e.clone()),
        };
        let a = self.log.take(most, live_bytes, live)?;
        self.log_append_taken_at = Some(now);
        Some(a)
    }

    /// A write is stored, or was not.
    pub fn write_finished(&mut self, w: &PendingWrite, ok: bool, now: Instant) {
        match w {
            PendingWrite::WriteAheadLog(a) if ok => self.log.appended(a),
            PendingWrite::Final { id, record, .. } => {
                if ok {
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
            PendingWrite::WriteAheadLog(_) | PendingWrite::Ratios(_) => {}
        }
    }
}

/// The run-to-estimate ratio of a finished job. Only what ended `done` counts,
/// never errors or stops: a job that fails at once says nothing of run times.
fn ratio(job: &Job) -> Option<f64> {
    if job.spec.kind == JobKind::Service || job.spec.estimate_s <= 0.0 || job.run_count == 0 {
        return None;
    }
    let mean = job.run_sum.as_secs_f64() / f64::from(job.run_count);
    Some((mean / job.spec.estimate_s).max(MIN_RUN_TIME_RATIO))
}
