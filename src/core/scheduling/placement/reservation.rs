//! The reservation of the blocked head: when it is predicted to start.

use std::time::Instant;

use crate::core::scheduling::over_quota::OverQuotaLoad;
use crate::core::scheduling::placement::planner::Planner;
use crate::wire::JobId;

impl Planner<'_> {
    /// When the head's next task is predicted to fit, counting sunny load
    /// only; `None` if no predicted end makes room for it.
    pub(super) fn reservation(&mut self, head: JobId) -> Option<Instant> {
        let job = self.model.jobs.get(&head)?;
        job.waiting.first()?;
        let spec = job.spec.clone();
        if !self.running_load_known {
            let rank = *self.ranks.get(&head)?;
            self.collect_running_load(rank, OverQuotaLoad::default());
        }
        let tasks_by_zone = self.zone_constraint(&spec);
        let allowed = self.machines.iter().filter(|machine| {
            let zone = &self.zone_names[machine.zone];
            self.machine_allowed(&spec, machine) && Self::zone_allowed(&spec, tasks_by_zone.as_ref(), zone)
        });
        allowed.filter_map(|machine| machine.predicted_fit(&spec)).min()
    }
}
