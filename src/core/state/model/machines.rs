//! Machines of the model: rented, found in the cloud's list, released.

use std::time::{Duration, Instant};

use tracing::info;

use crate::core::state::machine::{Machine, MachinePhase};
use crate::core::state::model::ClusterModel;
use crate::core::storage::wal::LogEntry;
use crate::wire::{CloudState, ListedMachine, MachineId};

impl ClusterModel {
    /// A machine that was just rented.
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
        let m = self
            .machines
            .entry(id.clone())
            .or_insert_with(|| Machine::new(id, now));
        m.machine_type = machine_type.to_owned();
        m.zone = zone.to_owned();
        m.spot = spot;
        let entry = m.log_entry();
        self.log.push(entry);
    }

    /// Takes in the cloud's list. Absence from it means nothing.
    pub fn apply_machine_list(&mut self, list: &[ListedMachine], now: Instant) {
        let mut found = 0;
        for listed in list {
            if self.released_machines.contains(&listed.id) {
                continue;
            }
            let known = self.machines.contains_key(&listed.id);
            if !known {
                found += 1;
            }
            let m = self.machines.entry(listed.id.clone()).or_insert_with(|| {
                let mut m = Machine::new(listed.id.clone(), now);
                if let Some(s) = Duration::try_from_secs_f64(listed.age_s)
                    .ok()
                    .and_then(|a| now.checked_sub(a))
                {
                    m.known_since = s;
                }
                m
            });
            if !known {
                m.machine_type = listed.machine_type.clone();
                m.zone = listed.zone.clone();
                m.spot = listed.spot;
                if listed.state == CloudState::Running {
                    m.phase = MachinePhase::Up;
                    m.known_since = now;
                    m.needs_probe = true;
                }
            }
            if m.addr.is_empty() && !listed.addr.is_empty() {
                m.addr = listed.addr.clone();
                let entry = m.log_entry();
                self.log.push(entry);
            }
            if listed.state == CloudState::Running && m.phase == MachinePhase::Booting {
                m.needs_probe = true;
            }
            if m.needs_probe {
                self.command_candidates.insert(listed.id.clone());
            }
            if listed.state == CloudState::Failed {
                m.cordoned_since.get_or_insert(now);
                // Stopped on its own: nothing on it runs any more.
                self.remove_all_slots(&listed.id, now, "listed as failed");
            }
        }
        if found > 0 {
            info!(machines = found, "unknown machines in the cloud's list, adopted");
        }
    }

    /// The cloud has confirmed the release: the machine and all on it are gone.
    pub fn remove_released_machine(&mut self, id: &MachineId, now: Instant) {
        self.remove_all_slots(id, now, "machine released");
        if self.machines.remove(id).is_some() {
            self.log.push(LogEntry::Released(id.clone()));
        }
        self.command_candidates.remove(id);
        self.released_machines.insert(id.clone());
    }
}
