//! A run of a scenario: when its faults begin and end, and what must hold meanwhile.

use std::time::Duration;

use rand::Rng;

use super::messages::Message;
use super::{
    Pause, SimulatedSite, CONTROLLERS, FAULT_FREE_PERIOD, JOB, MACHINES, STATE_SERVICE_CLOCK, TIME_STEP,
};
use crate::support::*;

/// When the faults of a run happen.
struct FaultSchedule {
    /// The state service begins to refuse the leader.
    refused: Duration,
    /// The state service begins to refuse all controllers.
    outage_begins: Duration,
    /// The state service serves all controllers again.
    outage_ends: Duration,
    /// A user begins to request the cancellation of the job.
    cancelled: Duration,
    /// A controller is paused.
    paused: Duration,
    /// A machine begins to hang.
    hung: Duration,
    /// The run ends.
    end: Duration,
}

impl SimulatedSite {
    fn step(&mut self) {
        self.now += TIME_STEP;
        if let Some(pause) = self.pause.as_ref().filter(|_| self.scenario.pauses_steady_clock) {
            self.clock_paused[pause.controller] += TIME_STEP;
        }
        for machine in 0..MACHINES {
            let now = self.worker_clock(machine);
            let lease = self.config.worker_lease;
            self.workers[machine].expire_lease(now, lease);
        }
        let now = self.now;
        let in_flight = std::mem::take(&mut self.in_flight);
        let (due, later): (Vec<(Duration, Message)>, _) =
            in_flight.into_iter().partition(|(arrives, _)| *arrives <= now);
        self.in_flight = later;
        due.into_iter().for_each(|(_, message)| self.deliver(message));
        (0..CONTROLLERS).for_each(|controller| self.run_controller(controller));
        (0..MACHINES).for_each(|machine| self.run_worker(machine));
        self.end_pause();
    }

    /// Resumes a controller whose pause has ended.
    fn end_pause(&mut self) {
        let now = self.now;
        let Some(ended) = self.pause.take_if(|pause| pause.until <= now) else {
            return;
        };
        let now = self.clock(ended.controller);
        // A controller whose steady clock stopped, too, doesn't notice the pause.
        let resumed = self.leaders[ended.controller].as_mut();
        if let Some(leader) = resumed.filter(|_| !self.scenario.pauses_steady_clock) {
            leader.authority.resumed_after_pause(now);
            leader.model.ignore_silence_before(now);
        }
    }

    fn live_tasks(&self) -> usize {
        let tasks = self.workers.iter().flat_map(|worker| worker.tasks.values());
        tasks.filter(|task| task.is_live()).count()
    }

    fn draw_fault_schedule(&mut self) -> FaultSchedule {
        // Relative to the refusal of the leader, 30 s after the start of the run.
        let at = |seconds: f64| Duration::from_secs_f64(30.0 + seconds.max(-4.0));
        let outage_ends = at(self.scenario.outage_after + self.scenario.outage);
        FaultSchedule {
            refused: at(0.0),
            outage_begins: at(self.scenario.outage_after),
            outage_ends,
            cancelled: at(self.scenario.cancel_after),
            paused: at(self.rng.random_range(-3.0..20.0)),
            hung: at(self.rng.random_range(-3.0..20.0)),
            end: outage_ends + self.config.cancel_deadline + secs(30),
        }
    }

    /// Begins and ends the faults whose time has come since `before`.
    fn apply_faults(&mut self, schedule: &FaultSchedule, before: Duration) {
        let now = self.now;
        let is_due = |time: Duration| before < time && time <= now;
        if is_due(schedule.refused) {
            self.refused_controller = self.leader_lease.as_ref().map(|lease| lease.holder);
        }
        if is_due(schedule.outage_begins) {
            self.outage = true;
        }
        if is_due(schedule.outage_ends) {
            self.outage = false;
            self.refused_controller = None;
            // The leader's lease lasts for its full lifetime again.
            let expires = self.clock(STATE_SERVICE_CLOCK) + self.scenario.leader_lease();
            if let Some(lease) = &mut self.leader_lease {
                lease.expires = expires;
            }
        }
        if is_due(schedule.paused) && self.scenario.controller_pause > 5.0 {
            let until = self.now + Duration::from_secs_f64(self.scenario.controller_pause);
            let controller = self.rng.random_range(0..CONTROLLERS);
            self.pause = Some(Pause { controller, until });
        }
        if is_due(schedule.hung) {
            let machine = self.rng.random_range(0..MACHINES);
            self.reporting[machine].hangs_until =
                self.now + Duration::from_secs_f64(self.scenario.machine_hang);
        }
    }

    /// Runs the scenario. Returns whether the cancellation was confirmed while tasks ran.
    pub fn run(&mut self) -> bool {
        let record = job_record(job(JOB, 8, 4.0));
        self.stored_jobs.insert(record.spec.id, record);
        while self.now < FAULT_FREE_PERIOD {
            self.step();
        }
        assert!(
            self.live_tasks() >= 4,
            "too few tasks run before the faults begin"
        );
        let schedule = self.draw_fault_schedule();
        let mut confirmed_while_tasks_ran = false;
        while self.now < schedule.end {
            let before = self.now;
            self.step();
            self.apply_faults(&schedule, before);
            if self.now >= schedule.cancelled && self.confirmed_at.is_none() {
                self.request_cancellation();
            }
            if let Some(confirmed) = self.confirmed_at {
                confirmed_while_tasks_ran |= confirmed == self.now && self.live_tasks() > 0;
                self.check_cancelled_in_time(confirmed);
            }
        }
        confirmed_while_tasks_ran
    }

    /// Checks that no task is live once the deadline, counted from the confirmation of the
    /// cancellation, has passed.
    fn check_cancelled_in_time(&self, confirmed: Duration) {
        let late = self.now > confirmed + self.config.cancel_deadline;
        assert!(
            !late || self.live_tasks() == 0,
            "{} tasks still run {:?} after the confirmation at {confirmed:?}: {:?}",
            self.live_tasks(),
            self.now - confirmed,
            self.scenario
        );
    }
}
