//! Delivery of a message, or of a copy of it.

use std::time::Instant;

use bitternfold::core::evidence::heartbeats::HeartbeatOutcome;
use bitternfold::core::storage::pending_writes::PendingWrite;
use bitternfold::wire::*;

use super::message::Message;
use super::SimulatedCluster;
use crate::worker::{Worker, RESPONSE_TIMEOUT};

impl SimulatedCluster {
    /// Delivers a message. Responses for an earlier leader are dropped.
    pub fn deliver(&mut self, message: Message) {
        match message {
            Message::Command { to, commands, term } => self.deliver_command(to, &commands, term),
            Message::CommandResponse {
                from,
                heartbeat,
                term,
            } if term == self.term => {
                self.model.batch_finished(&from, heartbeat.as_ref(), self.now);
            }
            Message::Heartbeat { heartbeat, sent } => self.deliver_heartbeat(heartbeat, sent),
            Message::HeartbeatResponse {
                to,
                incarnation,
                response,
                heartbeat_sent,
            } => self.deliver_heartbeat_response(&to, incarnation, response, heartbeat_sent),
            Message::StoreCancellation { id, term } if term == self.term => self.store_cancellation(id, term),
            Message::CancellationStored { id, term } if term == self.term => {
                self.model.cancellation_stored(id);
                self.record_confirmed_state(id, JobState::Cancelled);
            }
            Message::Write { write, term } => {
                // The transaction is conditional on the leader's key: it fails for an
                // earlier leader.
                let stored = term == self.term;
                if stored {
                    self.store(&write);
                }
                self.in_flight
                    .push(Message::WriteResponse { write, stored, term });
            }
            Message::WriteResponse { write, stored, term } if term == self.term => {
                if let (true, PendingWrite::Final { id, record, .. }) = (stored, &write) {
                    self.record_confirmed_state(*id, record.state);
                }
                self.model.write_finished(&write, stored, self.now);
            }
            _ => {}
        }
    }

    fn deliver_command(&mut self, to: MachineId, commands: &CommandBatch, term: u64) {
        let receives_commands = |worker: &&mut Worker| worker.receives_commands();
        let Some(worker) = self.worker(&to).filter(receives_commands) else {
            self.in_flight.push(Message::CommandResponse {
                from: to,
                heartbeat: None,
                term,
            });
            return;
        };
        let started = worker.execute(commands);
        let heartbeat = Some(worker.next_heartbeat());
        for task in started {
            self.check_runs_once_within_limit(task);
            self.check_dependencies_are_done(task);
        }
        self.in_flight.push(Message::CommandResponse {
            from: to,
            heartbeat,
            term,
        });
    }

    fn deliver_heartbeat(&mut self, heartbeat: Heartbeat, sent: Instant) {
        let outcome = self.model.apply_heartbeat(&heartbeat, self.now);
        let known = self.model.machines().get(&heartbeat.machine);
        let incarnation_has_ended = known.is_none_or(|machine| {
            machine.newest_message.incarnation != heartbeat.incarnation
                || machine.incarnation_ended(heartbeat.incarnation)
        });
        match outcome {
            HeartbeatOutcome::MachineReleased => return,
            HeartbeatOutcome::Outdated if incarnation_has_ended => return,
            HeartbeatOutcome::Outdated | HeartbeatOutcome::Applied => {}
        }
        let response = self
            .model
            .heartbeat_response(&heartbeat.machine, heartbeat.token, self.now);
        if let Some(mut response) = response {
            let stops = self.model.stops_for_cancelled(&heartbeat);
            response.commands.extend(stops);
            self.check_response_stops_unwanted_tasks(&heartbeat, &response.commands);
            self.in_flight.push(Message::HeartbeatResponse {
                to: heartbeat.machine,
                incarnation: heartbeat.incarnation,
                response,
                heartbeat_sent: sent,
            });
        }
    }

    /// Delivers a response to a heartbeat. The worker drops it if it is late, for an earlier
    /// incarnation, or of an earlier leader.
    fn deliver_heartbeat_response(
        &mut self,
        to: &MachineId,
        incarnation: u64,
        response: HeartbeatResponse,
        heartbeat_sent: Instant,
    ) {
        let now = self.now;
        let reachable = |worker: &&mut Worker| worker.alive && !worker.unreachable;
        let Some(worker) = self.worker(to).filter(reachable) else {
            return;
        };
        let late = now > heartbeat_sent + RESPONSE_TIMEOUT;
        if late || incarnation != worker.incarnation || response.token < worker.token {
            return;
        }
        worker.lease_renewed = worker.lease_renewed.max(heartbeat_sent);
        let started = worker.execute(&CommandBatch {
            token: response.token,
            incarnation,
            commands: response.commands,
        });
        assert!(
            started.is_empty(),
            "a response to a heartbeat started {started:?}"
        );
    }

    /// Stores a cancellation, conditional on the leader's key. The user gets the
    /// confirmation after that.
    fn store_cancellation(&mut self, id: JobId, term: u64) {
        let Some(record) = self.stored_jobs.get_mut(&id) else {
            panic!("{id} was finished while its cancellation was in flight");
        };
        record.cancelled = true;
        self.in_flight.push(Message::CancellationStored { id, term });
    }

    /// Delivers a copy of a message, now or much later than the message itself.
    pub fn deliver_copy(&mut self, message: Message) {
        match message {
            // The response to the copy is dropped.
            Message::Heartbeat { heartbeat, .. } => {
                self.model.apply_heartbeat(&heartbeat, self.now);
                let _ = self
                    .model
                    .heartbeat_response(&heartbeat.machine, heartbeat.token, self.now);
            }
            Message::Command { to, commands, .. } => self.deliver_copy_of_command(&to, &commands),
            // Copies of these have no effect: a transaction's conditions hold at most once,
            // and a sender handles one response, or the lack of one.
            Message::HeartbeatResponse { .. }
            | Message::StoreCancellation { .. }
            | Message::CancellationStored { .. }
            | Message::Write { .. }
            | Message::WriteResponse { .. }
            | Message::CommandResponse { .. } => {}
        }
    }

    fn deliver_copy_of_command(&mut self, to: &MachineId, commands: &CommandBatch) {
        let results = self.results.clone();
        let receives_commands = |worker: &&mut Worker| worker.receives_commands();
        let Some(worker) = self.worker(to).filter(receives_commands) else {
            return;
        };
        let mut started = worker.execute(commands);
        for task in started.extract_if(.., |task| results.contains(task)) {
            let known = worker.tasks.get_mut(&task).expect("it was just started");
            known.exit(ExitReason::Done);
        }
        for task in started {
            self.check_runs_once_within_limit(task);
            self.check_not_stored_as_cancelled(task);
        }
    }
}
