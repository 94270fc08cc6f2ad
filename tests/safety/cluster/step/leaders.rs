//! Changes of the leader.

use std::time::Duration;

use super::super::{SimulatedCluster, LEASE};
use crate::support::*;

impl SimulatedCluster {
    /// Elects a new leader, which loads what is stored. Messages of the deposed one stay in
    /// flight.
    pub(super) fn elect(&mut self) {
        self.term += 1;
        let mut elected = model(self.term);
        for record in self.stored_jobs.values() {
            elected.add_job(record.clone(), self.now);
        }
        for (number, segment) in &self.wal {
            assert!(
                elected.load_log_segment(*number, segment.clone()),
                "the new leader can't read a stored segment"
            );
        }
        elected.replay_log(self.now);
        self.deposed = Some(std::mem::replace(&mut self.model, elected));
    }

    pub(super) fn elect_in_succession(&mut self, leaders: u8) {
        for leader in 0..usize::from(leaders) {
            self.elect();
            self.run_round();
            self.pass_time(Duration::from_millis(1500));
            for message in 0..3 {
                self.deliver_selected(leader * 7 + message * 3);
            }
        }
    }

    pub(super) fn no_leader_for_a_lease(&mut self) {
        self.pass_time(LEASE + secs(2));
        self.elect();
    }
}
