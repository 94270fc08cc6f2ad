//! What of the model is to be written, and what follows once it is.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tracing::info;

use super::bits::BitSet;
use super::model::{Job, Model, LEAST_RATIO};
use super::record::{self, FinalRecord, JobRecord, MachineRecord};
use crate::store::Unit;
use crate::wire::{JobId, Kind, MachineId, Standing};

/// Done tasks are written together, at most so often for each job.
const DONE_PAUSE: Duration = Duration::from_millis(400);

/// A write that is due.
#[derive(Debug, Clone)]
pub enum Write {
    /// A machine's record: which tasks may be on it.
    Machine {
        /// The machine.
        id: MachineId,
        /// The change that it holds.
        rev: u64,
        /// What is written.
        record: MachineRecord,
    },
    /// A machine that is gone.
    NoMachine {
        /// The machine.
        id: MachineId,
    },
    /// An unfinished job's record, with its done tasks.
    Job {
        /// The job.
        id: JobId,
        /// The change that it holds.
        rev: u64,
        /// What is written, for jobs of one page.
        record: Option<Box<JobRecord>>,
        /// Pages of done tasks, for larger jobs.
        pages: Vec<(u32, String)>,
    },
    /// A job's final state.
    Final {
        /// The job.
        id: JobId,
        /// What is written.
        record: FinalRecord,
        /// Pages of done tasks that go.
        pages: u32,
    },
    /// The teams' ratios.
    Ratios(BTreeMap<String, f64>),
}

impl Write {
    /// The changes of the state service.
    pub fn unit(&self) -> Unit {
        let put = |v: Result<serde_json::Value, _>| v.ok();
        let changes = match self {
            Write::Machine { id, record, .. } => {
                vec![(record::machine_key(id), put(serde_json::to_value(record)))]
            }
            Write::NoMachine { id } => vec![(record::machine_key(id), None)],
            Write::Job {
                id, record: Some(r), ..
            } => {
                vec![(record::job_key(*id), put(serde_json::to_value(r)))]
            }
            Write::Job { id, pages, .. } => pages
                .iter()
                .map(|(p, t)| (record::bits_key(*id, *p), Some(t.as_str().into())))
                .collect(),
            Write::Final { id, record, pages } => {
                let mut c = vec![
                    (record::job_key(*id), None),
                    (record::final_key(*id), put(serde_json::to_value(record))),
                ];
                c.extend((0..*pages).map(|p| (record::bits_key(*id, p), None)));
                c
            }
            Write::Ratios(r) => vec![(record::RATIOS.to_owned(), put(serde_json::to_value(r)))],
        };
        Unit {
            changes,
            absent: Vec::new(),
        }
    }
}

impl Model {
    /// Takes the writes that are due now.
    pub fn take_writes(&mut self, now: Instant) -> Vec<Write> {
        let mut out = Vec::new();
        for (id, m) in &mut self.machines {
            // A machine whose type isn't known holds nothing yet.
            if m.rev > m.stored_rev && !m.writing && !m.machine_type.is_empty() {
                m.writing = true;
                out.push(Write::Machine {
                    id: id.clone(),
                    rev: m.rev,
                    record: m.record(),
                });
            }
        }
        for id in std::mem::take(&mut self.dead_records) {
            out.push(Write::NoMachine { id });
        }
        let most_pages = self.config.txn_ops.saturating_sub(2).max(1);
        let mut learned = Vec::new();
        for (id, job) in &mut self.jobs {
            if job.writing {
                continue;
            }
            let gone = job.places.is_empty();
            let state = if job.cancelled && job.cancel_stored && gone {
                Standing::Cancelled
            } else if job.complete() && !job.cancelled {
                Standing::Done
            } else {
                if job.rev > job.stored_rev
                    && !job.cancelled
                    && job.written_at.is_none_or(|t| now >= t + DONE_PAUSE)
                {
                    job.writing = true;
                    job.written_at = Some(now);
                    out.push(job_write(*id, job, most_pages));
                }
                continue;
            };
            job.writing = true;
            if state == Standing::Done {
                learned.extend(ratio(job).map(|r| (job.spec.team.clone(), r)));
            }
            let pages = BitSet::pages(job.spec.tasks);
            out.push(Write::Final {
                id: *id,
                record: FinalRecord {
                    state,
                    done: job.done.count(),
                },
                pages: if pages > 1 {
                    pages.min(most_pages as u32)
                } else {
                    0
                },
            });
        }
        for (team, r) in learned {
            self.ratios.insert(team, r);
            self.ratios_dirty = true;
        }
        if self.ratios_dirty
            && self
                .ratios_written
                .is_none_or(|t| now >= t + Duration::from_secs(3))
        {
            self.ratios_dirty = false;
            self.ratios_written = Some(now);
            let fits = self.config.value_bytes / 64;
            out.push(Write::Ratios(
                self.ratios
                    .iter()
                    .take(fits)
                    .map(|(k, v)| (k.clone(), *v))
                    .collect(),
            ));
        }
        out
    }

    /// A write is stored, or was not.
    pub fn written(&mut self, w: &Write, ok: bool, _now: Instant) {
        match w {
            Write::Machine { id, rev, .. } => {
                if let Some(m) = self.machines.get_mut(id) {
                    m.writing = false;
                    if ok {
                        m.stored_rev = m.stored_rev.max(*rev);
                    }
                } else if ok {
                    // It went while its record was being written.
                    self.dead_records.push(id.clone());
                }
            }
            Write::Job { id, rev, pages, .. } => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.writing = false;
                    if ok {
                        if job.dirty_pages.is_empty() || pages.is_empty() {
                            job.stored_rev = job.stored_rev.max(*rev);
                        }
                    } else {
                        job.dirty_pages.extend(pages.iter().map(|p| p.0));
                    }
                }
            }
            Write::Final { id, record, .. } => {
                if ok {
                    self.remove_job(*id);
                } else if let Some(job) = self.jobs.get_mut(id) {
                    job.writing = false;
                    info!(job = %id, state = ?record.state, "its final state is not stored yet");
                }
            }
            Write::NoMachine { .. } | Write::Ratios(_) => {}
        }
    }
}

fn job_write(id: JobId, job: &mut Job, most_pages: usize) -> Write {
    if BitSet::pages(job.spec.tasks) == 1 {
        job.dirty_pages.clear();
        return Write::Job {
            id,
            rev: job.rev,
            record: Some(Box::new(job.record())),
            pages: Vec::new(),
        };
    }
    let some: Vec<u32> = job.dirty_pages.iter().take(most_pages).copied().collect();
    let pages = some
        .into_iter()
        .map(|p| {
            job.dirty_pages.remove(&p);
            (p, job.done.page(p))
        })
        .collect();
    Write::Job {
        id,
        rev: job.rev,
        record: None,
        pages,
    }
}

/// The run-to-estimate ratio of a finished job. Only what ended `done` counts,
/// never errors or stops: a job that fails at once says nothing of run times.
fn ratio(job: &Job) -> Option<f64> {
    if job.spec.kind == Kind::Service || job.spec.estimate_s <= 0.0 || job.run_count == 0 {
        return None;
    }
    let mean = job.run_sum.as_secs_f64() / f64::from(job.run_count);
    Some((mean / job.spec.estimate_s).max(LEAST_RATIO))
}
