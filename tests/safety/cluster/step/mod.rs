//! Applies the operations of a generated run. After each the leader runs a scheduling round,
//! and its statuses of all jobs are compared with the stored records.

mod leaders;
mod machines;
mod network;
mod users;

use std::time::Duration;

use super::{Operation, SimulatedCluster};
use crate::support::*;

impl SimulatedCluster {
    pub fn step(&mut self, operation: Operation) {
        self.apply(operation);
        self.keep_results();
        self.run_round();
        self.check_statuses_agree_with_storage();
    }

    fn apply(&mut self, operation: Operation) {
        match operation {
            Operation::Submit {
                tasks,
                cpus,
                red_team,
                awaits,
            } => self.submit(tasks, cpus, red_team, &awaits),
            Operation::Cancel(job) => self.cancel_if_open(job),
            Operation::CancelAsTasksEnd(machine) => self.cancel_as_tasks_end(machine),
            Operation::ResolveDependency(job) => self.resolve_dependency(job),

            Operation::SendHeartbeat(machine) => self.send_heartbeat(machine),
            Operation::Deliver(message) => self.deliver_selected(message),
            Operation::Duplicate(message) => self.duplicate(message),
            Operation::Lose(message) => self.lose(message),
            Operation::KeepCopy(message) => self.keep_copy(message),
            Operation::DeliverKeptCopy(message) => self.deliver_kept_copy(message),
            Operation::KeepCopiesOfCommands => self.keep_copies_of_commands(),
            Operation::DeposedLeaderResponds(machine) => self.deposed_leader_responds(machine),
            Operation::Unreachable { machines, begins } => {
                self.first_workers(machines)
                    .for_each(|worker| worker.unreachable = begins);
            }
            Operation::CommandsLost { machines, begins } => {
                self.first_workers(machines)
                    .for_each(|worker| worker.commands_lost = begins);
            }
            Operation::HeartbeatsLost { machines, begins } => self.lose_heartbeats(machines, begins),

            Operation::AdvanceTasks { machine, outcome } => self.advance_tasks(machine, outcome),
            Operation::FailAllTasks => self.fail_all_tasks(),
            Operation::ExpireLease(machine) => self.expire_lease(machine),
            Operation::MachineDies(machine) => self.selected_worker(machine).alive = false,
            Operation::Release(machine) => self.release(machine),
            Operation::Reboot {
                machine,
                new_incarnation,
            } => self.reboot(machine, new_incarnation),

            Operation::Elect => self.elect(),
            Operation::ElectInSuccession(leaders) => self.elect_in_succession(leaders),
            Operation::NoLeaderForALease => self.no_leader_for_a_lease(),
            Operation::PauseLeader(seconds) => {
                self.pass_time(secs(seconds));
                self.model.ignore_silence_before(self.now);
            }
            Operation::PassTime(millis) => self.pass_time(Duration::from_millis(millis)),
        }
    }
}
