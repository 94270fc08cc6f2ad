//! Remembers which machines were released.

use std::collections::{HashSet, VecDeque};

use crate::wire::MachineId;

/// Ids of released machines, kept so that late copies of their heartbeats don't add them
/// to the model again.
#[derive(Debug, Default)]
pub struct Tombstones {
    set: HashSet<MachineId>,
    order: VecDeque<MachineId>,
}

/// Most ids kept, the newest ones: heartbeats arrive late by minutes, not by days.
const MAX_TOMBSTONES: usize = 65_536;

impl Tombstones {
    /// Adds a released machine; drops the oldest one if there are too many.
    pub fn insert(&mut self, id: MachineId) {
        if self.set.insert(id.clone()) {
            self.order.push_back(id);
            if self.order.len() > MAX_TOMBSTONES {
                if let Some(oldest) = self.order.pop_front() {
                    self.set.remove(&oldest);
                }
            }
        }
    }

    /// Whether the machine is known to be released.
    pub fn contains(&self, id: &MachineId) -> bool {
        self.set.contains(id)
    }
}
