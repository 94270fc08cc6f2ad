//! The next commands for a machine: acknowledgements, then stops, then starts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::core::evidence::commands::AddressedBatch;
use crate::core::evidence::permission::check_job;
use crate::core::state::dependencies::Dependencies;
use crate::core::state::job::Job;
use crate::core::state::machine::{Machine, MachinePhase};
use crate::core::state::model::ClusterModel;
use crate::core::state::resources::Resources;
use crate::core::state::slot::{Slot, SlotState};
use crate::core::storage::wal::WriteAheadLog;
use crate::wire::{Command, CommandBatch, JobId, MachineId, MachineType, TaskId};

/// So long after its time to save has ended, a task that is still there is stopped
/// without any.
const STOP_OVERDUE_AFTER: Duration = Duration::from_secs(2);

/// What decides whether a placed task may be started on a machine now.
struct StartConditions<'a> {
    log: &'a WriteAheadLog,
    jobs: &'a BTreeMap<JobId, Job>,
    dependencies: &'a Dependencies,
    /// The machine's type, if it is known.
    machine_type: Option<&'a MachineType>,
    /// The token that the batch is going to carry.
    token: u64,
    /// The worker's incarnation that the batch is meant for.
    incarnation: u64,
}

impl ClusterModel {
    /// The next commands to a worker, if any are due; they count as on their way from
    /// then on. The batch may be empty: a probe, which only fences the worker.
    pub fn next_command(&mut self, machine: &MachineId, now: Instant) -> Option<AddressedBatch> {
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
        // Acknowledgements go with other commands or in the response to a heartbeat;
        // alone only if neither comes in time.
        let is_overdue = machine
            .unacknowledged_since
            .is_some_and(|since| now.saturating_duration_since(since) > max_delay);
        let has_nothing_due = commands.is_empty() || commands.len() == acknowledgements && !is_overdue;
        if !machine.needs_probe && has_nothing_due {
            return None;
        }
        machine.needs_probe = false;
        machine.command_in_flight = true;
        let batch = CommandBatch {
            token: machine.issue_token(term),
            incarnation: conditions.incarnation,
            commands,
        };
        Some(AddressedBatch {
            address: machine.addr.clone(),
            batch,
        })
    }
}

/// Whether a command may be sent to a machine: its address is known, none is on its
/// way, no retry pause lasts, and it is not to be released.
fn can_receive_commands(machine: &Machine, now: Instant) -> bool {
    let is_paused = machine.no_command_before.is_some_and(|until| until > now);
    !machine.command_in_flight
        && !machine.addr.is_empty()
        && !is_paused
        && machine.phase != MachinePhase::Releasing
}

/// Adds the stops that are ordered, and returns what is in use on the machine after
/// them, for the starts: a stopped task holds its room for as long as it may save.
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

/// The time that a stopped task still has to save: none once its time is long over.
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

/// What a slot's task takes; nothing if its job is not known.
fn resources_of(slot: &Slot) -> Resources {
    let spec = slot.spec.as_ref();
    spec.map_or_else(Resources::default, |spec| Resources::of_task(spec))
}

/// Adds the starts of placed tasks whose placement is stored and whose job may run.
///
/// A first start waits until the machine has room beside `in_use`: tasks that were ordered to stop
/// may still be saving. A start that was sent before is repeated in every batch, as the
/// fresh token may overtake the one it went with.
fn collect_starts(
    slots: &mut BTreeMap<TaskId, Slot>,
    conditions: &StartConditions,
    mut in_use: Resources,
    commands: &mut Vec<Command>,
) {
    for (task, slot) in slots {
        if slot.state != SlotState::Placed
            || slot.stop_grace.is_some()
            || !conditions.log.is_stored(slot.start_log_mark)
        {
            continue;
        }
        let Some(spec) = &slot.spec else { continue };
        // Checked here, too, whatever led to the placement.
        if check_job(conditions.jobs, conditions.dependencies, task.job).is_err() {
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
        // The latest incarnation that a start was meant for: any later one refuses it.
        slot.start_incarnation = slot.start_incarnation.max(conditions.incarnation);
        commands.push(Command::Start {
            task: *task,
            attempt: slot.attempt,
        });
    }
}
