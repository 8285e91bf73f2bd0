use lagoon_core::unit::{Resources, Timestamp};

use crate::dispatch::core::Core;
use crate::dispatch::pass::Pass;
use crate::fleet::ExecutorSlot;
use crate::id::TaskKey;
use crate::policy::Queue;
use crate::run::{Run, RunPhase};

impl Core {
    /// Returns what becomes free on an executor within the time of a stop: what is stopping already, and what less
    /// urgent work that saves its progress takes.
    pub(super) fn free_soon(&self, slot: ExecutorSlot, queue: &Queue) -> Resources {
        let tasks = self.fleet.get(slot).tasks.iter();
        let runs = tasks.filter_map(|task| self.runs.get(*task));
        let soon = runs.filter(|run| {
            matches!(run.phase, RunPhase::Stopping { .. }) || self.can_displace(run, queue)
        });
        soon.fold(Resources::ZERO, |sum, run| sum.saturating_add(run.need))
    }

    /// Stops less urgent work on an executor until `total` is free there or becomes free by stops under way.
    pub(super) fn displace(
        &mut self,
        slot: ExecutorSlot,
        total: &Resources,
        queue: &Queue,
        pass: &Pass,
    ) {
        let mut free = pass.room(slot).free;
        let mut victims: Vec<(Timestamp, TaskKey, Resources)> = Vec::new();
        for task in &self.fleet.get(slot).tasks {
            let Some(run) = self.runs.get(*task) else {
                continue;
            };
            if matches!(run.phase, RunPhase::Stopping { .. }) {
                free = free.saturating_add(run.need);
            } else if self.can_displace(run, queue) {
                victims.push((run.ordered, run.task, run.need));
            }
        }
        // What began last loses the least work.
        victims.sort_unstable_by_key(|(ordered, task, _)| (std::cmp::Reverse(*ordered), *task));
        for (_, task, need) in victims {
            if total.fits_in(&free) {
                return;
            }
            free = free.saturating_add(need);
            let executor = &self.fleet.get(slot).entry.id;
            tracing::info!(%task, %executor, by = %queue.name, "dispatch: run displaced by more urgent work");
            self.stop(task);
        }
    }

    fn can_displace(&self, run: &Run, queue: &Queue) -> bool {
        let Some(job) = self.jobs.get(run.task.job()) else {
            return false;
        };
        let spec = job.step_spec(run.task.step());
        let is_cheap =
            spec.is_some_and(|spec| spec.saves_progress && !spec.gang && !spec.long_running);
        let rank = self
            .policy
            .queue(job.record().queue())
            .map(|other| other.rank);
        is_cheap && run.is_running() && rank.is_some_and(|rank| rank > queue.rank)
    }
}
