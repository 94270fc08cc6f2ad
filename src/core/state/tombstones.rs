//! Names of machines that are gone.

use std::collections::{HashSet, VecDeque};

use crate::wire::MachineId;

/// Names of machines that are gone, kept so that late copies of their reports
/// don't bring them back.
#[derive(Debug, Default)]
pub struct Tombstones {
    set: HashSet<MachineId>,
    order: VecDeque<MachineId>,
}

/// Names kept; a machine's reports come late by minutes, not by days.
const MAX_TOMBSTONES: usize = 65_536;

impl Tombstones {
    /// Adds a machine.
    pub fn insert(&mut self, id: MachineId) {
        if self.set.insert(id.clone()) {
            self.order.push_back(id);
            if self.order.len() > MAX_TOMBSTONES {
                if let Some(old) = self.order.pop_front() {
                    self.set.remove(&old);
                }
            }
        }
    }

    /// Whether it is gone.
    pub fn contains(&self, id: &MachineId) -> bool {
        self.set.contains(id)
    }
}
