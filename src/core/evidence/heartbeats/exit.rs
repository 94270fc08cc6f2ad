//! Applies the end of an attempt to its slot, job and machine.

use std::time::{Duration, Instant};

use tracing::debug;

use crate::core::evidence::heartbeats::reported_task::reported_slot;
use crate::core::evidence::heartbeats::AcceptedHeartbeat;
use crate::core::state::job::Job;
use crate::core::state::machine::Machine;
use crate::core::state::slot::{Slot, SlotState};
use crate::core::storage::wal::{LogEntry, WriteAheadLog};
use crate::wire::{ExitReason, JobKind, ReportedTask};

/// How long no task is placed on a machine that refused a start for lack of free
/// resources: long enough for the tasks that still take the resources to end or to be
/// reported.
const FULL_MACHINE_PAUSE: Duration = Duration::from_secs(3);
/// How long no task of a job is placed after a worker reported one of its attempts as
/// unknown.
const UNKNOWN_TASK_PAUSE: Duration = Duration::from_secs(2);

/// What the end of an attempt means for its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ExitEffect {
    /// The machine needs no check for faults.
    None,
    /// The attempt failed, so the machine may be faulty.
    AttemptFailed,
}

/// Records that an attempt has ended. Its slot stays until the outcome is stored and the
/// worker has received the acknowledgement. Its task is placed again unless it is done.
///
/// If the worker may still start the attempt again, nothing is recorded yet: should the worker
/// lose the attempt before the acknowledgement, a late copy of the start would run it beside
/// its next attempt, or after its job has ended. The end is recorded once the worker reports it
/// with a higher token; a probe is due for that.
pub(super) fn apply_exit(
    machine: &mut Machine,
    job: Option<&mut Job>,
    log: &mut WriteAheadLog,
    task: &ReportedTask,
    accepted: &AcceptedHeartbeat,
) -> ExitEffect {
    let now = accepted.now;
    let Some(slot) = reported_slot(&mut machine.slots, task) else {
        return ExitEffect::None;
    };
    let reason = task.exit_reason.unwrap_or(ExitReason::Other);
    if slot.may_start_again(accepted.heartbeat.token) && !ends_at_once_if_started_again(slot, reason) {
        slot.awaits_fence = true;
        machine.needs_probe = true;
        return ExitEffect::None;
    }
    slot.awaits_fence = false;
    slot.state = SlotState::Ended(reason);
    let ran = slot.running_since.map(|since| now - since);
    let was_stopped = slot.stop_grace.is_some();
    debug!(task = %task.task, attempt = slot.attempt, machine = %machine.id, ?reason, "attempt ended");
    machine.unacknowledged_since.get_or_insert(now);
    if reason == ExitReason::Done {
        machine.failures = 0;
        machine.failed_jobs.clear();
    }
    let mut effect = ExitEffect::None;
    if let Some(job) = job {
        match reason {
            ExitReason::Done => {
                if let Some(mark) = record_done(job, log, task, ran) {
                    slot.outcome_log_mark = mark;
                }
            }
            ExitReason::Failed | ExitReason::Other => {
                record_failure(machine, job, ran, now);
                effect = ExitEffect::AttemptFailed;
            }
            ExitReason::InsufficientResources if !was_stopped => {
                machine.no_placement_before = Some(now + FULL_MACHINE_PAUSE);
            }
            ExitReason::UnknownTask => job.pause_until = Some(now + UNKNOWN_TASK_PAUSE),
            _ => {}
        }
        job.remove_place(task.task.index, &machine.id);
    }
    if machine.is_empty() && machine.idle_since.is_none() {
        machine.idle_since = Some(now);
    }
    effect
}

/// Whether an attempt that ended for this reason would end at once if it were started again. The
/// worker keeps the result of a task that is done; replicas of a service are never done.
fn ends_at_once_if_started_again(slot: &Slot, reason: ExitReason) -> bool {
    let is_service = slot
        .spec
        .as_ref()
        .is_some_and(|spec| spec.kind == JobKind::Service);
    reason == ExitReason::Done && !is_service
}

/// Records that a task of an array or gang is done. Returns the mark of the log entry
/// that records it; `None` for a service, whose tasks are never done, or for a task that
/// the job doesn't have.
fn record_done(
    job: &mut Job,
    log: &mut WriteAheadLog,
    task: &ReportedTask,
    ran: Option<Duration>,
) -> Option<u64> {
    let id = task.task;
    if job.spec.kind == JobKind::Service || id.index >= job.spec.tasks {
        return None;
    }
    job.mark_done(id.index);
    let mark = log.push(LogEntry::Done(id.job, vec![id.index]));
    job.failures.clear();
    if let Some(ran) = ran {
        job.total_run_time += ran;
        job.counted_runs += 1;
    }
    Some(mark)
}

/// Counts a failure against both the machine and the job. Failures elsewhere show which
/// of the two is faulty.
fn record_failure(machine: &mut Machine, job: &mut Job, ran: Option<Duration>, now: Instant) {
    job.failures
        .record_failure(&machine.id, ran.unwrap_or_default(), now);
    machine.failures += 1;
    machine.failed_jobs.insert(job.spec.id);
    if job.is_on_probation(now) {
        job.pause_until = Some(now + job.failures.pause());
    }
}
