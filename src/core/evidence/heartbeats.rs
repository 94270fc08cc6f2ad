//! What follows from a message of a worker: a report, or the answer to a command.

use std::collections::btree_map::Entry;
use std::time::{Duration, Instant};

use tracing::{debug, info};

use crate::core::state::job::Job;
use crate::core::state::machine::{Machine, MachinePhase};
use crate::core::state::model::ClusterModel;
use crate::core::state::slot::{Slot, SlotState};
use crate::core::state::token;
use crate::core::storage::wal::LogEntry as Logged;
use crate::wire::{ExitReason, Heartbeat, JobId, JobKind, MachineId, ReportedTask, TaskId, TaskState};

/// A cordoned machine that is still there is tried again after so long.
const CORDON: Duration = Duration::from_secs(45);

/// What came of a message of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// It is of a machine that is gone.
    MachineReleased,
    /// Older than what is known.
    Outdated,
    /// Taken in.
    Applied,
}

impl ClusterModel {
    /// Takes in a message of a worker: a report, or the answer to a command.
    pub fn apply_heartbeat(&mut self, r: &Heartbeat, now: Instant) -> HeartbeatOutcome {
        if self.released_machines.contains(&r.machine) {
            return HeartbeatOutcome::MachineReleased;
        }
        let term = self.term;
        let cache_gb = self
            .machine_types
            .iter()
            .find(|t| t.name == r.machine_type)
            .map_or(f64::MAX, |t| t.cache_gb);
        if !self.machines.contains_key(&r.machine) {
            info!(machine = %r.machine, "unexpected machine reports, taken over");
            self.machines
                .insert(r.machine.clone(), Machine::new(r.machine.clone(), now));
        }
        let m = self.machines.get_mut(&r.machine).expect("just made");
        if (r.incarnation, r.sequence) <= m.newest_message {
            return HeartbeatOutcome::Outdated;
        }
        m.newest_message = (r.incarnation, r.sequence);
        m.last_heartbeat = Some(now);
        if m.phase == MachinePhase::Booting {
            m.phase = MachinePhase::Up;
            m.idle_since = m.idle_since.map(|_| now);
            debug!(machine = %r.machine, zone = %r.zone, boot_s = (now - m.since).as_secs_f64(), "machine is up");
        }
        if m.addr != r.addr || m.machine_type != r.machine_type {
            m.addr.clone_from(&r.addr);
            m.machine_type.clone_from(&r.machine_type);
            m.zone.clone_from(&r.zone);
            m.spot = r.spot;
            self.log.push(m.entry());
        }
        m.seen_token = m.seen_token.max(r.token);
        let reclaim_at = r
            .reclaim_in_s
            .and_then(|s| Duration::try_from_secs_f64(s.max(0.0)).ok())
            .map(|d| now + d);
        if m.reclaim_at.is_none() && reclaim_at.is_some() {
            debug!(machine = %r.machine, notice_s = r.reclaim_in_s, "spot notice");
        }
        m.reclaim_at = reclaim_at;
        if !m.fenced(term) {
            m.needs_probe = true;
        }

        // Evidence of absence. A later session than the one that a start was
        // sent to has killed and forgotten it, or will refuse it. Otherwise the
        // token settles it. Sessions tell nothing of the starts of earlier
        // terms: the first words of a machine in a term may be late copies.
        let obeys = token::term_of(r.token) == term;
        let mut absent = Vec::new();
        for (task, slot) in &m.slots {
            let here = r
                .tasks
                .iter()
                .any(|t| t.task == *task && t.attempt == slot.attempt);
            if here {
                continue;
            }
            let settled = slot.start_token > 0 && r.token >= slot.start_token;
            let later_incarnation = slot.start_incarnation > 0 && r.incarnation > slot.start_incarnation;
            if settled || later_incarnation {
                absent.push(*task);
            }
        }
        for task in absent {
            debug!(%task, machine = %r.machine, "gone from its machine");
            self.drop_slot(&r.machine, task, now);
        }
        for t in &r.tasks {
            self.apply_reported_task(r, t, obeys, cache_gb, now);
        }
        // A different attempt than the one that is known (`in_use` tells of
        // it) holds the task's place until it is gone, too.
        if obeys {
            for t in r.tasks.iter().filter(|t| t.state != TaskState::Exited) {
                self.hold_unexpected_attempt(r, t);
            }
        }
        self.note_due(&r.machine);
        HeartbeatOutcome::Applied
    }

    pub(in crate::core) fn apply_reported_task(
        &mut self,
        r: &Heartbeat,
        t: &ReportedTask,
        obeys: bool,
        cache_gb: f64,
        now: Instant,
    ) {
        let Some(m) = self.machines.get_mut(&r.machine) else {
            return;
        };
        let mut job = self.jobs.get_mut(&t.task.job);
        let term = self.term;
        if let Entry::Vacant(free) = m.slots.entry(t.task) {
            // On the machine though the log doesn't name it: of a job that is
            // over or cancelled, or another attempt. It counts until it is
            // gone. Words older than this term's fence may be late copies.
            if !obeys {
                return;
            }
            debug!(task = %t.task, attempt = t.attempt, machine = %r.machine, "unexpected task");
            let spec = job.as_ref().map(|j| j.spec.clone());
            let mut slot = Slot::unknown(t.attempt, spec, term, now);
            slot.order_stop(Duration::ZERO, now);
            free.insert(slot);
            m.idle_since = None;
            if let Some(job) = job.as_mut().filter(|j| t.task.index < j.spec.tasks) {
                job.occupy(t.task.index, &r.machine);
            }
        }
        let slot = m.slots.get_mut(&t.task).expect("just made");
        if slot.attempt != t.attempt {
            // An ended attempt that is not forgotten yet, beside a new one.
            return;
        }
        if matches!(slot.state, SlotState::Ended(_)) {
            return;
        }
        let mut failed = false;
        match t.state {
            TaskState::Fetching | TaskState::Waiting => slot.state = SlotState::Fetching,
            TaskState::Saving => slot.state = SlotState::Saving,
            TaskState::Running => {
                slot.state = SlotState::Running;
                slot.running_since.get_or_insert(now);
                if let Some(job) = job.as_mut().filter(|j| t.task.index < j.spec.tasks) {
                    job.running.insert(t.task.index);
                }
            }
            TaskState::Exited => {
                let reason = t.exit_reason.unwrap_or(ExitReason::Other);
                slot.state = SlotState::Ended(reason);
                let ran = slot.running_since.map(|s| now - s);
                let attempt = slot.attempt;
                let was_stopped = slot.stop.is_some();
                debug!(task = %t.task, attempt, machine = %r.machine, ?reason, "ended");
                m.unacknowledged_since.get_or_insert(now);
                if reason == ExitReason::Done {
                    m.failures = 0;
                    m.failed_jobs.clear();
                }
                if let Some(job) = job {
                    let service = job.spec.kind == JobKind::Service;
                    if reason == ExitReason::Done && !service && t.task.index < job.spec.tasks {
                        job.finish(t.task.index);
                        slot.outcome = self.log.push(Logged::Done(t.task.job, vec![t.task.index]));
                        job.failures.clear();
                        if let Some(ran) = ran {
                            job.run_sum += ran;
                            job.run_count += 1;
                        }
                    }
                    if reason == ExitReason::Failed || reason == ExitReason::Other {
                        job.failures.record(&r.machine, ran.unwrap_or_default(), now);
                        m.failures += 1;
                        m.failed_jobs.insert(t.task.job);
                        if job.on_probation(now) {
                            job.pause_until = Some(now + job.failures.pause());
                        }
                        failed = true;
                    }
                    if reason == ExitReason::NoRoom && !was_stopped {
                        m.full_until = Some(now + Duration::from_secs(3));
                    }
                    if reason == ExitReason::UnknownTask {
                        job.pause_until = Some(now + Duration::from_secs(2));
                    }
                    job.vacate(t.task.index, &r.machine);
                }
                if m.empty() && m.idle_since.is_none() {
                    m.idle_since = Some(now);
                }
            }
        }
        if failed {
            self.judge_machine(&r.machine, now);
            return;
        }
        let slot = m.slots.get(&t.task).expect("still here");
        if let (Some(spec), SlotState::Running | SlotState::Fetching) = (&slot.spec, slot.state) {
            let (image, gb) = (spec.image.clone(), spec.image_gb);
            m.touch_image(&image, gb, cache_gb);
        }
    }

    /// Cordons a machine that fails its tasks, not one on which bad jobs fail:
    /// it takes failures of a job that is fine elsewhere, or of more jobs than
    /// are likely to be bad at once.
    pub(in crate::core) fn judge_machine(&mut self, id: &MachineId, now: Instant) {
        let Some(m) = self.machines.get_mut(id).filter(|m| m.cordoned_since.is_none()) else {
            return;
        };
        let fine = |id: &JobId| self.jobs.get(id).is_some_and(|j| j.done.count() > 0);
        let many = m.failed_jobs.len();
        let any_fine = m.failed_jobs.iter().any(fine);
        if many >= 3 || any_fine && (many >= 2 || m.failures >= 3) {
            info!(machine = %id, failures = m.failures, jobs = many, "cordoned: fails its tasks");
            m.cordoned_since = Some(now);
        }
    }

    /// Ends cordons that have lasted long enough: what ailed the machine may be
    /// over. This doesn't wait for the machine to empty, nor does it rely on
    /// its release, which the cloud may refuse for long: else work would wait
    /// beside its room.
    pub fn end_cordons(&mut self, now: Instant) {
        let over = |m: &&mut Machine| {
            m.cordoned_since
                .is_some_and(|t| now.saturating_duration_since(t) > CORDON)
        };
        for m in self.machines.values_mut().filter(over) {
            info!(machine = %m.id, "tried again after its cordon");
            m.cordoned_since = None;
            m.failed_jobs.clear();
            m.failures = 0;
        }
    }

    /// How many tasks of a job may be placed at once, see [`crate::core::state::probation`].
    pub fn placement_limit(&self, job: &Job, now: Instant) -> u32 {
        if !job.on_probation(now) {
            return u32::MAX;
        }
        let trial = job.failures.trial();
        let survives = |slot: &&Slot| {
            slot.running_since
                .is_some_and(|t| now.saturating_duration_since(t) > trial)
        };
        let slots = job.places.iter().flat_map(|(index, machines)| {
            let task = TaskId {
                job: job.spec.id,
                index: *index,
            };
            machines
                .iter()
                .filter_map(move |m| self.machines.get(m)?.slots.get(&task))
        });
        job.failures.admitted(slots.filter(survives).count() as u32)
    }

    pub(in crate::core) fn hold_unexpected_attempt(&mut self, r: &Heartbeat, t: &ReportedTask) {
        let Some(slot) = self
            .machines
            .get_mut(&r.machine)
            .and_then(|m| m.slots.get_mut(&t.task))
        else {
            return;
        };
        if slot.attempt == t.attempt {
            return;
        }
        slot.stop = Some(Duration::ZERO);
        if !matches!(slot.state, SlotState::Ended(_)) {
            return;
        }
        slot.attempt = t.attempt;
        slot.state = SlotState::Unknown;
        if let Some(job) = self.jobs.get_mut(&t.task.job) {
            job.occupy(t.task.index, &r.machine);
        }
    }
}
