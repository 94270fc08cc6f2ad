//! The course of a run: when trouble begins and ends, and what must hold meanwhile.

use std::time::Duration;

use rand::Rng;

use super::mail::Mail;
use super::{World, JOB, TICK};
use crate::support::*;

impl World {
    pub(super) fn tick(&mut self) {
        self.now += TICK;
        if let Some((who, _)) = self.frozen.filter(|_| self.times.stops_clock) {
            self.clock_stood[who] += TICK;
        }
        for i in 0..4 {
            let now = self.clock(3 + i);
            let lease = self.config.lease;
            self.workers[i].expire_lease(now, lease);
        }
        let (due, rest) = std::mem::take(&mut self.mail)
            .into_iter()
            .partition(|(t, _)| *t <= self.now);
        self.mail = rest;
        let due: Vec<(Duration, Mail)> = due;
        due.into_iter().for_each(|(_, m)| self.deliver(m));
        (0..3).for_each(|c| self.lead(c));
        (0..4).for_each(|i| self.heartbeat(i));
        if let Some((who, _)) = self.frozen.filter(|f| f.1 <= self.now) {
            let now = self.clock(who);
            // One whose clock stood still, too, can't tell by it.
            if let Some(l) = self.leaders[who].as_mut().filter(|_| !self.times.stops_clock) {
                l.authority.resumed_after_pause(now);
                l.model.ignore_silence_before(now);
            }
            self.frozen = None;
        }
    }

    /// Plays the gap; whether a cancellation was confirmed while tasks ran.
    pub fn play(&mut self) -> bool {
        let rec = record(job(JOB, 8, 4.0));
        self.jobs.insert(rec.spec.id, rec);
        while self.now < secs(20) {
            self.tick();
        }
        assert!(self.live() >= 4, "tasks run before the trouble begins");
        let at = |s: f64| Duration::from_secs_f64(30.0 + s.max(-4.0));
        let (refused, asked) = (at(0.0), at(self.times.asked));
        let (out, back) = (at(self.times.apart), at(self.times.apart + self.times.outage));
        let frozen = at(self.rng.random_range(-3.0..20.0));
        let hung = at(self.rng.random_range(-3.0..20.0));
        let end = back + self.config.cancel + secs(30);
        let mut counted = false;
        while self.now < end {
            let before = self.now;
            self.tick();
            let passes = |t: Duration| before < t && t <= self.now;
            if passes(refused) {
                self.refused = self.held.map(|h| h.0);
            }
            if passes(out) {
                self.out = true;
            }
            if passes(back) {
                self.out = false;
                self.refused = None;
                // Every lease has its full time again.
                let full = self.clock(7) + Duration::from_secs_f64(self.times.hold);
                self.held = self.held.map(|h| (h.0, full));
            }
            if passes(frozen) && self.times.freeze > 5.0 {
                let until = self.now + Duration::from_secs_f64(self.times.freeze);
                self.frozen = Some((self.rng.random_range(0..3), until));
            }
            if passes(hung) {
                let i = self.rng.random_range(0..4);
                self.to[i].2 = self.now + Duration::from_secs_f64(self.times.hang);
            }
            if self.now >= asked && self.confirmed.is_none() {
                self.cancel();
            }
            if let Some(t) = self.confirmed {
                counted |= t == self.now && self.live() > 0;
                let late = self.now > t + self.config.cancel;
                assert!(
                    !late || self.live() == 0,
                    "{} tasks {:?} after the confirmation at {t:?}: {:?}",
                    self.live(),
                    self.now - t,
                    self.times
                );
            }
        }
        counted
    }
}
