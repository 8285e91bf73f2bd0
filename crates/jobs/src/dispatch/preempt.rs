use lagoon_core::unit::{Resources, Timestamp};

use crate::dispatch::core::Core;
use crate::dispatch::pass::Pass;
use crate::dispatch::preemption::Preemption;
use crate::fleet::ExecutorSlot;
use crate::id::{StepKey, TaskKey};
use crate::policy::Queue;
use crate::run::{Run, RunPhase};

impl Core {
    /// Returns the resources of each executor that become free within the time of a stop: those of the runs that are
    /// stopping, and of the runs that may be preempted.
    pub(super) fn reclaimable_resources(&self, preemption: Preemption) -> Vec<Resources> {
        let mut reclaimable = vec![Resources::ZERO; self.fleet.len()];
        let is_stopping = |run: &Run| matches!(run.phase, RunPhase::Stopping { .. });
        for run in self
            .runs
            .iter()
            .filter(|run| is_stopping(run) || preemption.preempts(run))
        {
            let sum = &mut reclaimable[run.slot.index()];
            *sum = sum.saturating_add(run.need);
        }
        reclaimable
    }

    /// Returns the queue rank below which runs of a step may be preempted; `None` if they may not.
    pub(super) fn preemptible_rank(&self, key: StepKey) -> Option<u32> {
        let job = self.jobs.get(key.job())?;
        let spec = job.step_spec(key)?;
        let is_cheap = spec.saves_progress && !spec.gang && !spec.long_running;
        let queue = self.queue_of(job).filter(|_| is_cheap)?;
        Some(queue.rank)
    }

    /// Stops less urgent runs on an executor until `total` is free there or becomes free by stops under way.
    pub(super) fn preempt(
        &mut self,
        slot: ExecutorSlot,
        total: &Resources,
        queue: &Queue,
        pass: &Pass,
    ) {
        let mut free = pass.free_capacity(slot).free;
        let mut victims: Vec<(Timestamp, TaskKey, Resources)> = Vec::new();
        for task in &self.fleet.get(slot).tasks {
            let Some(run) = self.runs.get(*task) else {
                continue;
            };
            if matches!(run.phase, RunPhase::Stopping { .. }) {
                free = free.saturating_add(run.need);
            } else if pass.preemption().preempts(run) {
                victims.push((run.requested_at, run.task, run.need));
            }
        }
        // The run that started last loses the least work.
        victims.sort_unstable_by_key(|(requested_at, task, _)| {
            (std::cmp::Reverse(*requested_at), *task)
        });
        for (_, task, need) in victims {
            if total.fits_in(&free) {
                return;
            }
            free = free.saturating_add(need);
            let executor = &self.fleet.get(slot).entry.id;
            tracing::info!(%task, %executor, by = %queue.name, "dispatch: stopping run to free capacity for more urgent work");
            self.stop(task);
        }
    }
}
