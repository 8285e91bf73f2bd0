use lagoon_core::unit::{Resources, Timestamp};

use crate::dispatch::core::Core;
use crate::dispatch::pass::Pass;
use crate::dispatch::precedence::Precedence;
use crate::fleet::ExecutorSlot;
use crate::id::TaskKey;
use crate::policy::Queue;
use crate::run::{Run, RunPhase};
use crate::spec::StepSpec;

impl Core {
    /// Returns what becomes free on each executor within the time of a stop: what is stopping already, and what work
    /// takes that yields to a step with this precedence.
    pub(super) fn free_soon(&self, precedence: Precedence) -> Vec<Resources> {
        let mut soon = vec![Resources::ZERO; self.fleet.len()];
        let is_stopping = |run: &Run| matches!(run.phase, RunPhase::Stopping { .. });
        for run in self
            .runs
            .iter()
            .filter(|run| is_stopping(run) || precedence.displaces(run))
        {
            let sum = &mut soon[run.slot.index()];
            *sum = sum.saturating_add(run.need);
        }
        soon
    }

    /// Returns the rank at which runs of a step yield to more urgent work; `None` if they do not.
    pub(super) fn preemptible_rank(spec: &StepSpec, queue: Option<&Queue>) -> Option<u32> {
        let is_cheap = spec.saves_progress && !spec.gang && !spec.long_running;
        queue.filter(|_| is_cheap).map(|queue| queue.rank)
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
            } else if pass.precedence().displaces(run) {
                victims.push((run.ordered_at, run.task, run.need));
            }
        }
        // What began last loses the least work.
        victims
            .sort_unstable_by_key(|(ordered_at, task, _)| (std::cmp::Reverse(*ordered_at), *task));
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
}
