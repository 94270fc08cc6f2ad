//! The order of the queue: predictions of the Last Model, tiers and ranks.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::core::state::job::Job;
use crate::core::state::model::ClusterModel;
use crate::core::state::resources::TeamUsage;
use crate::core::state::resources::AMOUNT_TOLERANCE;
use crate::core::state::slot::Slot;
use crate::wire::{JobId, JobKind, JobSpec, Priority};

/// Place of a job in the queue; the smaller comes first: by priority, then by
/// [`Tier`], then by arrival or, where something is due, by the work that is
/// left, the least first: where there isn't room for all, most are served in
/// time so. A job that has waited for [`STARVED_ACROSS_PRIORITIES_AFTER`] without a start has the highest
/// priority until it begins.
pub type Rank = (std::cmp::Reverse<Priority>, Tier, i64, JobId);

/// Order within a priority. Where there is room for all, it decides nothing;
/// where there is not, those come first whose users can still be served as they
/// were told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// Has waited long and not begun: its first tasks go before all others of
    /// its priority, so that a lasting overload keeps nobody out.
    Starved,
    /// Within its team's guarantee: it need not wait for other teams.
    Guaranteed,
    /// In time, or without a deadline.
    InTime,
    /// Late, but not yet for a laxer aim on the same deadline.
    Late,
    /// Too late for every aim.
    Lost,
}

/// A job too late for every aim is ordered by arrival again once it has waited
/// so many times its deadline, so that none waits for ever.
const LOST_LIMIT: f64 = 5.0;
/// A job that has not begun after so long comes first in its priority...
pub const STARVED_AFTER: Duration = Duration::from_secs(100);
/// ...and after so long in all: the users expect even the largest job to begin
/// within four minutes.
pub const STARVED_ACROSS_PRIORITIES_AFTER: Duration = Duration::from_secs(150);
/// So many of a starved job's tasks go first; the rest waits in the job's
/// ordinary place, so that all who starve begin soon.
pub(in crate::core) const STARVED_FIRST_TASKS: u32 = 2;

impl ClusterModel {
    /// Run time predicted for a task of a job: the estimate times the ratio of
    /// the team's last finished job, never more than the estimate.
    pub fn predict(&self, spec: &JobSpec) -> Duration {
        if spec.kind == JobKind::Service || spec.estimate_s <= 0.0 {
            return Duration::from_secs(365 * 86_400);
        }
        let ratio = self.ratios.get(&spec.team).copied().unwrap_or(1.0);
        Duration::from_secs_f64(spec.estimate_s * ratio.min(1.0))
    }

    /// Jobs that have a place in the queue, placed or not: neither cancelled nor
    /// waiting for others.
    pub(in crate::core) fn ready_jobs(&self) -> impl Iterator<Item = &Job> {
        let ready = |job: &&Job| !job.cancelled && self.dependencies.is_ready(job.spec.id);
        self.jobs.values().filter(ready)
    }

    /// The priority of a job: its own, or a higher one of a job that needs it.
    pub fn priority(&self, job: &Job) -> Priority {
        let inherited = self.dependencies.inherited(job.spec.id);
        inherited.map_or(job.spec.priority, |i| i.priority.max(job.spec.priority))
    }

    /// Jobs that fit into their team's guarantee along with the team's earlier
    /// unfinished ones.
    fn guaranteed(&self) -> HashSet<JobId> {
        let mut by_arrival: Vec<&Job> = self.ready_jobs().collect();
        by_arrival.sort_by_cached_key(|j| (self.ready_since(j), j.spec.id));
        let mut sums: HashMap<&str, TeamUsage> = HashMap::new();
        let mut within = HashSet::new();
        for j in by_arrival {
            let Some(team) = self.config.teams.get(&j.spec.team) else {
                continue;
            };
            let n = f64::from(j.spec.tasks);
            let sum = sums.entry(&j.spec.team).or_default();
            sum.cpus += n * j.spec.cpus;
            sum.gpus += n * j.spec.gpus;
            if sum.cpus <= team.cpus + AMOUNT_TOLERANCE && sum.gpus <= team.gpus + AMOUNT_TOLERANCE {
                within.insert(j.spec.id);
            }
        }
        within
    }

    /// When a job is due, in seconds from its arrival, by the strictest and by
    /// the laxest of what its users were told of it and of the jobs that need it.
    pub(in crate::core) fn deadlines(&self, job: &Job) -> (Option<f64>, Option<f64>) {
        let (own, own_latest) = self.own_deadlines(job);
        let Some(inherited) = self.dependencies.inherited(job.spec.id) else {
            return (own, own_latest);
        };
        let from_arrival = |due: Instant| match due.checked_duration_since(job.arrival) {
            Some(left) => left.as_secs_f64(),
            None => -job.arrival.duration_since(due).as_secs_f64(),
        };
        let due = inherited.due.map(from_arrival);
        let latest = inherited.latest_due.map(from_arrival);
        let strictest = [own, due].into_iter().flatten().reduce(f64::min);
        let laxest = [own_latest, latest].into_iter().flatten().reduce(f64::max);
        (strictest, laxest)
    }

    /// The same by what its users were told of the job itself.
    pub(in crate::core) fn own_deadlines(&self, job: &Job) -> (Option<f64>, Option<f64>) {
        let class = Some(&job.spec.class);
        let objectives = self
            .config
            .objectives
            .iter()
            .filter(|o| o.class.as_ref() == class);
        let told = job
            .spec
            .deadline_s
            .into_iter()
            .chain(objectives.filter_map(|o| match o.kind.as_str() {
                "finished" => {
                    let waited = self.ready_since(job).saturating_duration_since(job.arrival);
                    Some(o.within_s? + waited.as_secs_f64())
                }
                "deadline" => Some(job.spec.deadline_s? * o.times.unwrap_or(1.0)),
                _ => None,
            }));
        told.fold((None, None), |(a, b): (Option<f64>, Option<f64>), t| {
            (Some(a.map_or(t, |a| a.min(t))), Some(b.map_or(t, |b| b.max(t))))
        })
    }

    /// How late a job is by what its users were told.
    fn tier(&self, job: &Job, now: Instant) -> Tier {
        let (Some(due), Some(last)) = self.deadlines(job) else {
            return Tier::InTime;
        };
        let age = now.saturating_duration_since(job.arrival);
        let done = (age + self.predict(&job.spec)).as_secs_f64();
        if done <= due || age.as_secs_f64() > last * LOST_LIMIT {
            Tier::InTime
        } else if done <= last {
            Tier::Late
        } else {
            Tier::Lost
        }
    }

    /// Places of all unfinished jobs in the queue.
    pub fn ranks(&self, now: Instant) -> BTreeMap<JobId, Rank> {
        let within = self.guaranteed();
        self.ready_jobs()
            .map(|j| {
                let id = &j.spec.id;
                let age = now.saturating_duration_since(self.ready_since(j));
                let starved = age > STARVED_AFTER && !j.has_started();
                let priority = if starved && age > STARVED_ACROSS_PRIORITIES_AFTER {
                    Priority::Production
                } else {
                    self.priority(j)
                };
                let tier = if starved {
                    Tier::Starved
                } else if within.contains(id) {
                    Tier::Guaranteed
                } else {
                    self.tier(j, now)
                };
                let by = match tier {
                    Tier::InTime | Tier::Late if self.deadlines(j).0.is_some() => {
                        let each = self.predict(&j.spec).as_secs_f64() * j.spec.cpus;
                        (each * f64::from(j.spec.tasks - j.done.count()) * 1e3) as i64
                    }
                    _ => -(age.as_millis() as i64),
                };
                (*id, (std::cmp::Reverse(priority), tier, by, *id))
            })
            .collect()
    }

    /// When a slot is predicted to be free.
    pub(in crate::core) fn predicted_end(&self, slot: &Slot, now: Instant) -> Instant {
        let Some(spec) = &slot.spec else {
            return now + Duration::from_secs(1);
        };
        let p = self.predict(spec);
        let since = slot.running_since.unwrap_or(now);
        let end = since + p;
        if end > now {
            return end;
        }
        // It has outrun the prediction: the estimate comes next, then a guess
        // in proportion to its age. No job dies for outrunning its estimate.
        let full = since + Duration::from_secs_f64(spec.estimate_s.max(0.0));
        if full > now {
            full
        } else {
            now + (now - since) / 5 + Duration::from_secs(1)
        }
    }
}
