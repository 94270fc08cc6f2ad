//! Assembles the next batch of commands for a machine: acknowledgements, then stops, then
//! starts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::core::evidence::commands::AddressedBatch;
use crate::core::evidence::permission::check_job_startable;
use crate::core::state::dependencies::Dependencies;
use crate::core::state::job::Job;
use crate::core::state::machine::{Machine, MachinePhase};
use crate::core::state::model::ClusterModel;
use crate::core::state::resources::Resources;
use crate::core::state::slot::{Slot, SlotState};
use crate::core::storage::wal::WriteAheadLog;
use crate::wire::{Command, CommandBatch, JobId, MachineId, MachineType, TaskId};

/// How long after the end of its grace time a task that is still there is stopped without
/// any grace time.
const STOP_OVERDUE_AFTER: Duration = Duration::from_secs(2);

/// The state that decides whether a placed task may be started on a machine now.
struct StartConditions<'a> {
    log: &'a WriteAheadLog,
    jobs: &'a BTreeMap<JobId, Job>,
    dependencies: &'a Dependencies,
    /// The machine's type, if it is known.
    machine_type: Option<&'a MachineType>,
    /// The fencing token of the batch.
    token: u64,
    /// The worker's incarnation that the batch is meant for.
    incarnation: u64,
}

impl ClusterModel {
    /// The next batch of commands to a worker, if one is due; it counts as in flight from
    /// then on. An empty batch is a probe: it fences the worker, which answers with its
    /// tasks.
    pub fn next_command_batch(&mut self, machine: &MachineId, now: Instant) -> Option<AddressedBatch> {
        let term = self.term;
        let max_delay = self.config.heartbeat_interval * 2;
        let machine = self.machines.get_mut(machine)?;
        if !can_receive_commands(machine, now) {
            return None;
        }
        let mut commands = machine.acknowledgements(&self.log, &self.jobs);
        let acknowledgements = commands.len();
        let in_use = collect_stops(&machine.slots, &mut commands, now);
        let mut types = self.machine_types.iter();
        let conditions = StartConditions {
            log: &self.log,
            jobs: &self.jobs,
            dependencies: &self.dependencies,
            machine_type: types.find(|t| t.name == machine.machine_type),
            token: machine.peek_token(term),
            incarnation: machine.newest_message.incarnation.max(1),
        };
        collect_starts(&mut machine.slots, &conditions, in_use, &mut commands);
        // Acknowledgements go with other commands or in the response to a heartbeat. They
        // are sent alone only if neither happens in time.
        let is_overdue = machine
            .unacknowledged_since
            .is_some_and(|since| now.saturating_duration_since(since) > max_delay);
        let has_nothing_due = commands.is_empty() || commands.len() == acknowledgements && !is_overdue;
        if !machine.needs_probe && has_nothing_due {
            return None;
        }
        machine.needs_probe = false;
        machine.batch_in_flight = true;
        let batch = CommandBatch {
            token: machine.issue_token(term),
            incarnation: conditions.incarnation,
            commands,
        };
        Some(AddressedBatch {
            address: machine.address.clone(),
            batch,
        })
    }
}

/// Whether a batch may be sent to a machine: its address is known, no batch is in flight,
/// the pause after an unanswered batch is over, and the machine is not being released.
fn can_receive_commands(machine: &Machine, now: Instant) -> bool {
    let is_paused = machine.no_command_before.is_some_and(|until| until > now);
    !machine.batch_in_flight
        && !machine.address.is_empty()
        && !is_paused
        && machine.phase != MachinePhase::Releasing
}

/// Adds the stops that are ordered. Returns the resources that are in use after them, for
/// the starts: a stopped task keeps its resources for as long as it may save a checkpoint.
fn collect_stops(slots: &BTreeMap<TaskId, Slot>, commands: &mut Vec<Command>, now: Instant) -> Resources {
    let mut in_use = Resources::default();
    for (task, slot) in slots {
        let Some(ordered_grace) = slot.stop_grace.filter(|_| slot.takes_resources()) else {
            let never_started = slot.state == SlotState::Placed && slot.start_token == 0;
            if slot.takes_resources() && !never_started {
                in_use += resources_of(slot);
            }
            continue;
        };
        let grace = remaining_grace(slot, ordered_grace, now);
        if can_save(slot) && !grace.is_zero() {
            in_use += resources_of(slot);
        }
        if slot.state == SlotState::Saving && !grace.is_zero() {
            continue;
        }
        commands.push(Command::Stop {
            task: *task,
            attempt: slot.attempt,
            grace_s: grace.as_secs_f64(),
        });
    }
    in_use
}

/// The grace time to send with a stop: that of the order, or none once the stop is overdue
/// by [`STOP_OVERDUE_AFTER`].
fn remaining_grace(slot: &Slot, ordered: Duration, now: Instant) -> Duration {
    let is_overdue = slot
        .stop_ordered_at
        .is_some_and(|at| now > at + ordered + STOP_OVERDUE_AFTER);
    if is_overdue {
        Duration::ZERO
    } else {
        ordered
    }
}

/// Whether a task saves a checkpoint when it is stopped.
fn can_save(slot: &Slot) -> bool {
    let spec = slot.spec.as_ref();
    spec.is_some_and(|spec| spec.checkpoint_s > 0.0 && spec.checkpoint_grace_s > 0.0)
}

/// The resources that a slot's task takes; none if its job is not known.
fn resources_of(slot: &Slot) -> Resources {
    let spec = slot.spec.as_ref();
    spec.map_or_else(Resources::default, |spec| Resources::of_task(spec))
}

/// Adds the starts of placed tasks whose placement is stored and whose job may run.
///
/// A first start waits until the machine has enough free resources besides `in_use`, as
/// tasks that were ordered to stop may still be saving. A start that was sent before is
/// repeated in every batch: this batch may overtake the earlier one, which the worker then
/// refuses. The start of an attempt that awaits a fence is not repeated, as the token of the
/// batch is to fence it.
fn collect_starts(
    slots: &mut BTreeMap<TaskId, Slot>,
    conditions: &StartConditions,
    mut in_use: Resources,
    commands: &mut Vec<Command>,
) {
    for (task, slot) in slots {
        if slot.state != SlotState::Placed
            || slot.awaits_fence
            || slot.stop_grace.is_some()
            || !conditions.log.is_stored(slot.start_log_mark)
        {
            continue;
        }
        let Some(spec) = &slot.spec else { continue };
        // Checked again, independently of the checks that led to the placement.
        if check_job_startable(conditions.jobs, conditions.dependencies, task.job).is_err() {
            continue;
        }
        if slot.start_token == 0 {
            let Some(machine_type) = conditions.machine_type else {
                continue;
            };
            let needed = in_use + Resources::of_task(spec);
            if !needed.fits_into(&Resources::of_type(machine_type)) {
                continue;
            }
            in_use = needed;
        }
        slot.start_token = conditions.token;
        // The latest incarnation that a start was sent to; any later one refuses it.
        slot.start_incarnation = slot.start_incarnation.max(conditions.incarnation);
        commands.push(Command::Start {
            task: *task,
            attempt: slot.attempt,
        });
    }
}
