//! Venture backfilling: places tasks of jobs behind the blocked head, even where that may
//! delay the head, since backfilled tasks can be preempted for it. It is defined in section
//! 4.3 of the paper that [`scheduling`](crate::core::scheduling) names.

use std::time::Duration;

use crate::core::scheduling::placement::batches::PlacementMode;
use crate::core::scheduling::placement::planner::Planner;
use crate::core::scheduling::ranking::Rank;
use crate::wire::JobId;

impl Planner<'_> {
    /// Places tasks of the jobs behind the head: first, by predicted run time, those that
    /// are predicted to end by its reservation; then, by rank, all that fit. Returns the
    /// number of tasks placed.
    pub(in crate::core::scheduling) fn backfill(&mut self, head: JobId, behind: &[Rank]) -> u32 {
        if !behind.iter().any(|rank| self.fits_any_open_machine(rank.job)) {
            return 0;
        }
        let mut backfilled = 0;
        let by_run_time = self.by_predicted_run_time(behind);
        if let Some(reservation) = self.reservation(head) {
            let ends_by = Some(reservation);
            for (_, rank) in &by_run_time {
                let result = self.place_tasks(rank.job, PlacementMode::Backfill { ends_by });
                backfilled += result.placed;
            }
        }
        for rank in behind {
            let result = self.place_tasks(rank.job, PlacementMode::Backfill { ends_by: None });
            backfilled += result.placed;
        }
        backfilled
    }

    /// The jobs with the predicted run time of their tasks, the shortest first.
    fn by_predicted_run_time(&self, queue: &[Rank]) -> Vec<(Duration, Rank)> {
        let mut by_run_time: Vec<(Duration, Rank)> = queue
            .iter()
            .filter_map(|rank| {
                let job = self.model.jobs.get(&rank.job)?;
                Some((self.model.predict(&job.spec), *rank))
            })
            .collect();
        by_run_time.sort_unstable();
        by_run_time
    }
}
