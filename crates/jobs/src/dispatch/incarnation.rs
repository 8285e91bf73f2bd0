use lagoon_core::unit::Timestamp;

use crate::dispatch::core::Core;
use crate::fleet::{ExecutorSlot, IdentityChange};
use crate::id::{Incarnation, TaskKey};
use crate::run::RunPhase;

impl Core {
    /// Begins the incarnation that a list or an entry of an executor has named first. Runs of an earlier incarnation are lost.
    pub(super) fn apply_identity_change(
        &mut self,
        slot: ExecutorSlot,
        change: IdentityChange,
        now: Timestamp,
    ) {
        let (delay, max_lease) = (self.limits.max_request_delay, self.limits.max_lease);
        let executor = self.fleet.get_mut(slot);
        let earlier = match change {
            IdentityChange::Unchanged | IdentityChange::Outdated => return,
            IdentityChange::First => return executor.begin_incarnation(delay, max_lease, now),
            IdentityChange::Restarted { earlier } => earlier,
        };
        executor.begin_incarnation(delay, max_lease, now);
        // Requests sent before the restart was known name times on the old clock; the new incarnation shortens their leases
        // to the longest that executors grant.
        executor.clock.assume_granted(max_lease, now);
        let incarnation = executor.incarnation();
        let id = executor.entry.id.clone();
        let tasks: Vec<TaskKey> = executor.tasks.iter().copied().collect();
        tracing::warn!(
            executor = %id, earlier = earlier.get(), incarnation = incarnation.map(Incarnation::get), runs = tasks.len(),
            "dispatch: executor restarted, runs of its earlier incarnation are lost"
        );
        for task in tasks {
            if let Some(run) = self.runs.get(task) {
                tracing::info!(
                    %task, run = %run.number, executor = %id, phase = ?run.phase, ordered_ms = now.since(run.requested_at).get(),
                    "dispatch: run was started on an earlier incarnation of the executor"
                );
            }
            self.lose_run(task, incarnation);
        }
    }

    /// Records that an executor may have restarted: the next hold is sent at once, and leases that were granted on the clock
    /// of the earlier incarnation may last longer than intended.
    pub(super) fn suspect_restart(&mut self, slot: ExecutorSlot, now: Timestamp) {
        let (delay, max_lease) = (self.limits.max_request_delay, self.limits.max_lease);
        let executor = self.fleet.get_mut(slot);
        tracing::warn!(executor = %executor.entry.id, "dispatch: the clock of an executor went back, it may have restarted; asking for its runs");
        executor.clock.reset(delay, max_lease, now);
        executor.clock.assume_granted(max_lease, now);
        executor.identity.doubt();
    }

    /// Returns true if all runs of an executor are known to belong to its current incarnation.
    pub(super) fn all_runs_attributed(&self, slot: ExecutorSlot) -> bool {
        let executor = self.fleet.get(slot);
        let mut runs = executor
            .tasks
            .iter()
            .filter_map(|task| self.runs.get(*task));
        runs.all(|run| run.incarnation.is_some() && run.incarnation == executor.incarnation())
    }

    /// Attributes runs to the incarnation that has sent a listing, if their start or stop was confirmed before the listing was
    /// requested: no later incarnation can have started them.
    pub(super) fn attribute_runs(&mut self, slot: ExecutorSlot, sent_at: Timestamp) {
        let executor = self.fleet.get(slot);
        for task in &executor.tasks {
            let Some(run) = self.runs.get_mut(*task) else {
                continue;
            };
            let confirmed_at = match run.phase {
                RunPhase::Running { since } => Some(since),
                RunPhase::Stopping { confirmed } => confirmed,
                RunPhase::Starting | RunPhase::Unconfirmed { .. } => None,
            };
            if run.incarnation.is_none() && confirmed_at.is_some_and(|at| at < sent_at) {
                run.incarnation = executor.incarnation();
            }
        }
    }

    /// Drops a run that ended with an earlier incarnation of its executor. Any other run waits for a listing of the new
    /// incarnation, which may have received the request to start or may still receive it.
    fn lose_run(&mut self, task: TaskKey, incarnation: Option<Incarnation>) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        let has_ended = run.ended_before(incarnation);
        match &mut run.phase {
            _ if has_ended => {
                self.drop_run(task);
                if self.is_gang(task.step()) {
                    self.stop_step(task);
                }
            }
            RunPhase::Running { .. } => {}
            RunPhase::Stopping { confirmed } => {
                // The new incarnation does not know of a stop that the earlier one has confirmed.
                *confirmed = None;
                let (slot, number) = (run.slot, run.number);
                self.request_stop(slot, task, number);
            }
            RunPhase::Starting | RunPhase::Unconfirmed { .. } => self.stop(task),
        }
    }
}
