//! The course of a run: when faults begin and end, and what must hold meanwhile.

use std::time::Duration;

use rand::Rng;

use super::messages::Message;
use super::{Pause, SimulatedSite, CONTROLLERS, FAULTS_FROM, JOB, MACHINES, STATE_SERVICE_CLOCK, STEP};
use crate::support::*;

/// When the faults of a run happen.
struct Schedule {
    /// The state service refuses the leader.
    refused: Duration,
    /// The state service refuses everybody.
    outage_begins: Duration,
    /// It serves everybody again.
    outage_ends: Duration,
    /// A client asks to cancel the job.
    cancelled: Duration,
    /// A controller is paused.
    paused: Duration,
    /// A machine hangs.
    hung: Duration,
    end: Duration,
}

impl SimulatedSite {
    fn step(&mut self) {
        self.now += STEP;
        if let Some(pause) = self.pause.as_ref().filter(|_| self.times.stops_clock) {
            self.clock_paused[pause.controller] += STEP;
        }
        for machine in 0..MACHINES {
            let now = self.worker_clock(machine);
            let lease = self.config.worker_lease;
            self.workers[machine].expire_lease(now, lease);
        }
        let now = self.now;
        let in_transit = std::mem::take(&mut self.in_transit);
        let (due, later): (Vec<(Duration, Message)>, _) =
            in_transit.into_iter().partition(|(arrives, _)| *arrives <= now);
        self.in_transit = later;
        due.into_iter().for_each(|(_, message)| self.deliver(message));
        (0..CONTROLLERS).for_each(|controller| self.run_controller(controller));
        (0..MACHINES).for_each(|machine| self.run_worker(machine));
        self.end_pause();
    }

    /// Lets a controller go on whose pause is over.
    fn end_pause(&mut self) {
        let now = self.now;
        let Some(over) = self.pause.take_if(|pause| pause.until <= now) else {
            return;
        };
        let now = self.clock(over.controller);
        // One whose clock was paused, too, can't tell by it.
        let resumed = self.leaders[over.controller].as_mut();
        if let Some(leader) = resumed.filter(|_| !self.times.stops_clock) {
            leader.authority.resumed_after_pause(now);
            leader.model.ignore_silence_before(now);
        }
    }

    fn live_tasks(&self) -> usize {
        let tasks = self.workers.iter().flat_map(|worker| worker.tasks.values());
        tasks.filter(|task| task.is_live()).count()
    }

    fn draw_schedule(&mut self) -> Schedule {
        let at = |seconds: f64| Duration::from_secs_f64(30.0 + seconds.max(-4.0));
        let outage_ends = at(self.times.outage_after + self.times.outage);
        Schedule {
            refused: at(0.0),
            outage_begins: at(self.times.outage_after),
            outage_ends,
            cancelled: at(self.times.cancel_after),
            paused: at(self.rng.random_range(-3.0..20.0)),
            hung: at(self.rng.random_range(-3.0..20.0)),
            end: outage_ends + self.config.cancel_deadline + secs(30),
        }
    }

    /// Begins and ends the faults that are due since `before`.
    fn apply_faults(&mut self, schedule: &Schedule, before: Duration) {
        let now = self.now;
        let is_due = |time: Duration| before < time && time <= now;
        if is_due(schedule.refused) {
            self.refused = self.lease.as_ref().map(|lease| lease.holder);
        }
        if is_due(schedule.outage_begins) {
            self.outage = true;
        }
        if is_due(schedule.outage_ends) {
            self.outage = false;
            self.refused = None;
            // Every lease has its full time again.
            let expires = self.clock(STATE_SERVICE_CLOCK) + self.times.leader_lease();
            if let Some(lease) = &mut self.lease {
                lease.expires = expires;
            }
        }
        if is_due(schedule.paused) && self.times.controller_pause > 5.0 {
            let until = self.now + Duration::from_secs_f64(self.times.controller_pause);
            let controller = self.rng.random_range(0..CONTROLLERS);
            self.pause = Some(Pause { controller, until });
        }
        if is_due(schedule.hung) {
            let machine = self.rng.random_range(0..MACHINES);
            self.reporting[machine].hangs_until = self.now + Duration::from_secs_f64(self.times.machine_hang);
        }
    }

    /// Plays the gap; whether a cancellation was confirmed while tasks ran.
    pub fn play(&mut self) -> bool {
        let record = record(job(JOB, 8, 4.0));
        self.stored_jobs.insert(record.spec.id, record);
        while self.now < FAULTS_FROM {
            self.step();
        }
        assert!(self.live_tasks() >= 4, "tasks run before the trouble begins");
        let schedule = self.draw_schedule();
        let mut confirmed_under_tasks = false;
        while self.now < schedule.end {
            let before = self.now;
            self.step();
            self.apply_faults(&schedule, before);
            if self.now >= schedule.cancelled && self.confirmed.is_none() {
                self.cancel();
            }
            if let Some(confirmed) = self.confirmed {
                confirmed_under_tasks |= confirmed == self.now && self.live_tasks() > 0;
                self.check_cancelled_in_time(confirmed);
            }
        }
        confirmed_under_tasks
    }

    /// No task is live once the time for a cancellation has passed since its confirmation.
    fn check_cancelled_in_time(&self, confirmed: Duration) {
        let late = self.now > confirmed + self.config.cancel_deadline;
        assert!(
            !late || self.live_tasks() == 0,
            "{} tasks {:?} after the confirmation at {confirmed:?}: {:?}",
            self.live_tasks(),
            self.now - confirmed,
            self.times
        );
    }
}
