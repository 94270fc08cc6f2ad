//! The reservation of the blocked head: the time at which it is predicted to start.

use std::time::Instant;

use crate::core::scheduling::over_quota::OverQuotaLoad;
use crate::core::scheduling::placement::planner::Planner;
use crate::wire::JobId;

impl Planner<'_> {
    /// The earliest time at which the head's next task is predicted to fit on a machine
    /// that it may use, if only sunny load takes resources; `None` if no predicted end of
    /// sunny load makes it fit.
    pub(super) fn reservation(&mut self, head: JobId) -> Option<Instant> {
        let job = self.model.jobs.get(&head)?;
        job.waiting.first()?;
        let spec = job.spec.clone();
        if !self.running_load_collected {
            let rank = *self.ranks.get(&head)?;
            self.collect_running_load(rank, OverQuotaLoad::default());
        }
        let tasks_by_zone = self.zone_constraint(&spec);
        let allowed = self.machines.iter().filter(|machine| {
            let zone = &self.zone_names[machine.zone_index];
            self.is_machine_allowed(&spec, machine)
                && Self::is_zone_allowed(&spec, tasks_by_zone.as_ref(), zone)
        });
        allowed
            .filter_map(|machine| machine.predicted_fit_time(&spec))
            .min()
    }
}
