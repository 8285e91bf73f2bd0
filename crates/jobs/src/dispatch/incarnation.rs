use lagoon_core::unit::Timestamp;

use crate::dispatch::core::Core;
use crate::fleet::ExecutorSlot;
use crate::id::{Life, TaskKey};
use crate::run::RunPhase;

impl Core {
    /// Compares the life that an executor names with the one known; what an earlier life ran is gone.
    pub(super) fn observe_incarnation(
        &mut self,
        slot: ExecutorSlot,
        life: Option<Life>,
        now: Timestamp,
    ) {
        let executor = self.fleet.get_mut(slot);
        let known = executor.life;
        if life.is_none() || life <= known {
            return;
        }
        executor.begin_life(life);
        if known.is_none() {
            return;
        }
        // Orders sent before this was known name times on the old clock; the new life shortens their leases to the
        // longest that executors grant.
        executor.clock.assume_granted(self.limits.max_lease, now);
        executor.heard = None;
        let id = executor.entry.id.clone();
        let tasks: Vec<TaskKey> = executor.tasks.iter().copied().collect();
        tracing::warn!(
            executor = %id, earlier = known.map(Life::get), life = life.map(Life::get), runs = tasks.len(),
            "dispatch: executor started again, its runs are lost"
        );
        for task in tasks {
            if let Some(run) = self.runs.get(task) {
                tracing::info!(
                    %task, run = %run.number, executor = %id, phase = ?run.phase, ordered_ms = now.since(run.ordered).get(),
                    "dispatch: run belongs to an earlier life"
                );
            }
            self.lose_run(task, life);
        }
    }

    /// Notes that an executor may have started again: it is asked for its list at once, and leases may last longer than they
    /// were granted for on the clock of the earlier life.
    pub(super) fn suspect_restart(&mut self, slot: ExecutorSlot, now: Timestamp) {
        let max_lease = self.limits.max_lease;
        let executor = self.fleet.get_mut(slot);
        tracing::warn!(executor = %executor.entry.id, "dispatch: executor may have started again, its clock went back");
        executor.clock.restart();
        executor.clock.assume_granted(max_lease, now);
        executor.heard = None;
    }

    /// Tells whether everything that runs on an executor is known to run in its present life.
    pub(super) fn all_runs_attributed(&self, slot: ExecutorSlot) -> bool {
        let executor = self.fleet.get(slot);
        let mut runs = executor
            .tasks
            .iter()
            .filter_map(|task| self.runs.get(*task));
        runs.all(|run| run.life.is_some() && run.life == executor.life)
    }

    /// Notes the life of runs that were confirmed, or whose stop was, before a list of the present life was asked for: no later
    /// life can have begun them.
    pub(super) fn attribute_runs(&mut self, slot: ExecutorSlot, sent_at: Timestamp) {
        let executor = self.fleet.get(slot);
        for task in &executor.tasks {
            let Some(run) = self.runs.get_mut(*task) else {
                continue;
            };
            let settled = match run.phase {
                RunPhase::Running { since } => Some(since),
                RunPhase::Stopping { confirmed } => confirmed,
                RunPhase::Starting | RunPhase::Unconfirmed { .. } => None,
            };
            if run.life.is_none() && settled.is_some_and(|at| at < sent_at) {
                run.life = executor.life;
            }
        }
    }

    /// Drops a run that ended with an earlier life of its executor. Any other waits for a list of the new life: an order to
    /// start may still arrive there, or the new life has carried it out.
    fn lose_run(&mut self, task: TaskKey, life: Option<Life>) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        let has_ended = run.ended_before(life);
        match &mut run.phase {
            _ if has_ended => {
                self.drop_run(task);
                if self.is_gang(task.step()) {
                    self.stop_step(task);
                }
            }
            RunPhase::Running { .. } => {}
            RunPhase::Stopping { confirmed } => {
                // The new life does not know of a stop that the earlier one has answered.
                *confirmed = None;
                let (slot, number) = (run.slot, run.number);
                self.request_stop(slot, task, number);
            }
            RunPhase::Starting | RunPhase::Unconfirmed { .. } => self.stop(task),
        }
    }
}
