//! Machines of the model: newly rented, found in the cloud's list, or released.

use std::time::{Duration, Instant};

use tracing::info;

use crate::core::state::machine::{Machine, MachinePhase};
use crate::core::state::model::ClusterModel;
use crate::core::storage::wal::LogEntry;
use crate::wire::{CloudMachineState, ListedMachine, MachineId};

impl ClusterModel {
    /// Adds a machine that was just rented, unless its release is confirmed already.
    pub fn add_rented_machine(
        &mut self,
        id: MachineId,
        machine_type: &str,
        zone: &str,
        spot: bool,
        now: Instant,
    ) {
        if self.released_machines.contains(&id) {
            return;
        }
        let machine = self
            .machines
            .entry(id.clone())
            .or_insert_with(|| Machine::new(id, now));
        machine.machine_type = machine_type.to_owned();
        machine.zone = zone.to_owned();
        machine.spot = spot;
        let entry = machine.log_entry();
        self.log.push(entry);
    }

    /// Applies the cloud's list of machines. A machine that it doesn't list may exist
    /// nevertheless, as the list may lag behind.
    pub fn apply_machine_list(&mut self, list: &[ListedMachine], now: Instant) {
        let mut adopted = 0;
        for listed in list {
            if self.released_machines.contains(&listed.id) {
                continue;
            }
            let known = self.machines.contains_key(&listed.id);
            if !known {
                adopted += 1;
            }
            let machine = self.machines.entry(listed.id.clone()).or_insert_with(|| {
                let mut machine = Machine::new(listed.id.clone(), now);
                if let Some(known_since) = Duration::try_from_secs_f64(listed.age_s)
                    .ok()
                    .and_then(|age| now.checked_sub(age))
                {
                    machine.known_since = known_since;
                }
                machine
            });
            if !known {
                machine.machine_type = listed.machine_type.clone();
                machine.zone = listed.zone.clone();
                machine.spot = listed.spot;
                if listed.state == CloudMachineState::Running {
                    machine.phase = MachinePhase::Up;
                    machine.known_since = now;
                    machine.needs_probe = true;
                }
            }
            if machine.address.is_empty() && !listed.address.is_empty() {
                machine.address = listed.address.clone();
                let entry = machine.log_entry();
                self.log.push(entry);
            }
            if listed.state == CloudMachineState::Running && machine.phase == MachinePhase::Booting {
                machine.needs_probe = true;
            }
            if machine.needs_probe {
                self.command_candidates.insert(listed.id.clone());
            }
            if listed.state == CloudMachineState::Failed {
                machine.cordoned_since.get_or_insert(now);
                // The machine has failed, so nothing runs on it any more.
                self.remove_all_slots(&listed.id, now, "listed as failed");
            }
        }
        if adopted > 0 {
            info!(
                machines = adopted,
                "adopted unknown machines from the cloud's list"
            );
        }
    }

    /// Removes a machine whose release the cloud has confirmed, with all its slots: the
    /// machine and the attempts on it are gone.
    pub fn remove_released_machine(&mut self, id: &MachineId, now: Instant) {
        self.remove_all_slots(id, now, "machine released");
        if self.machines.remove(id).is_some() {
            self.log.push(LogEntry::Released(id.clone()));
        }
        self.command_candidates.remove(id);
        self.released_machines.insert(id.clone());
    }
}
