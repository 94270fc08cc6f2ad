//! What a worker does on each turn: it sends its heartbeat once that is due.

use std::time::Duration;

use rand::Rng;

use super::mail::Mail;
use super::World;
use crate::support::*;

impl World {
    pub(super) fn heartbeat(&mut self, i: usize) {
        let (to, next, hangs) = self.to[i];
        if self.now < next || self.now < hangs {
            return;
        }
        let interval = self.times.report * self.rng.random_range(0.75..1.25);
        self.to[i].1 = self.now + Duration::from_secs_f64(interval);
        let r = self.workers[i].heartbeat();
        // Relayed to the latest leader, if the asked one leads no more.
        let mut asked = vec![to];
        if self.times.peers {
            let latest = (0..3).max_by_key(|c| self.leaders[*c].as_ref().map_or(0, |l| l.term));
            asked.extend(latest);
        }
        for who in asked {
            let now = self.clock(who);
            let clocks = self.clocks(who);
            if self.stands_still(who) {
                break;
            }
            let Some(l) = self.leaders[who].as_mut().filter(|l| !l.over) else {
                continue;
            };
            if !l.authority.may_renew_leases(clocks) {
                continue;
            }
            l.model.apply_heartbeat(&r, now);
            let Some(mut reply) = l.model.heartbeat_response(&r.machine, r.token, now) else {
                l.over = true;
                continue;
            };
            if !l.authority.may_act(clocks) {
                reply.commands.clear();
            }
            reply.commands.extend(l.model.stops_for_cancelled(&r));
            let delay = Duration::from_secs_f64(self.rng.random_range(0.0..4.5f64).powi(3) / 20.0);
            self.mail.push((
                self.now + delay,
                Mail::ApiResponse {
                    to: i,
                    incarnation: r.incarnation,
                    reply,
                    sent: self.now,
                },
            ));
            return;
        }
        self.to[i].0 = (to + 1) % 3;
        self.to[i].1 = self.now + secs(1);
    }
}
