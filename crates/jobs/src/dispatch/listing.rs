use std::collections::HashSet;

use lagoon_core::unit::Timestamp;

use crate::dispatch::Dispatcher;
use crate::dispatch::core::Core;
use crate::fleet::{ExecutorSlot, IdentityChange};
use crate::id::{RunNumber, TaskKey};
use crate::run::{ActiveRun, Listing, RunPhase};

impl<S> Dispatcher<S> {
    /// Handles the listing with which an executor answered a hold that was sent at `sent_at`.
    pub fn listed(
        &mut self,
        slot: ExecutorSlot,
        listing: &Listing,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        let executor = self.core.fleet.get_mut(slot);
        let change = executor.identity.answer(listing.incarnation, sent_at, now);
        if change == IdentityChange::Outdated {
            tracing::debug!(executor = %executor.entry.id, "dispatch: ignoring the listing of an earlier incarnation of the executor");
            return;
        }
        self.core.apply_identity_change(slot, change, now);
        self.core.apply_listing(slot, listing, sent_at, now);
    }
}

impl Core {
    fn apply_listing(
        &mut self,
        slot: ExecutorSlot,
        listing: &Listing,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        let max_lease = self.limits.max_lease;
        let executor = self.fleet.get_mut(slot);
        executor
            .clock
            .record_reading(listing.executor_ms, sent_at, now);
        executor.clock.confirm_incarnation(sent_at);
        let is_first = executor.identity.listed_at().is_none();
        executor.identity.record_list(now);
        executor.is_unresponsive = false;
        if is_first {
            executor.clock.assume_granted(max_lease, now);
        }
        for end in &listing.ended {
            if self.fleet.get(slot).ends.is_handled(end.sequence) {
                continue;
            }
            if !self.defer_if_job_unknown(slot, end, now) {
                self.handle_end(slot, end, now);
            }
        }
        self.fleet.get_mut(slot).ends.advance(&self.write_queue);
        self.fleet.get_mut(slot).unexpected_runs.clear();
        let mut present: HashSet<(TaskKey, RunNumber)> = HashSet::new();
        for active in &listing.running {
            present.insert((active.task, active.number));
            self.apply_active_run(slot, active, now);
        }
        self.attribute_runs(slot, sent_at);
        self.stop_missing(slot, &present, sent_at);
        if listing.complete {
            self.unreported.remove(&slot);
            self.fleet.get_mut(slot).has_listed_all = true;
            self.drop_missing(slot, &present, sent_at);
            self.settle_inherited_locations(now);
        } else {
            tracing::info!(
                executor = %self.fleet.get(slot).entry.id, ends = listing.ended.len(),
                "dispatch: the listing is incomplete, requesting the next page"
            );
        }
    }

    fn apply_active_run(&mut self, slot: ExecutorSlot, active: &ActiveRun, now: Timestamp) {
        let incarnation = self.fleet.get(slot).incarnation();
        let Some(run) = self.runs.matching(active.task, active.number, slot) else {
            self.handle_unexpected_run(slot, active, now);
            return;
        };
        run.incarnation = incarnation;
        match run.phase {
            RunPhase::Starting | RunPhase::Unconfirmed { .. } => {
                run.phase = RunPhase::Running { since: now };
                run.progress = (active.percent, now);
            }
            RunPhase::Running { .. } if run.progress.0 != active.percent => {
                run.progress = (active.percent, now);
            }
            RunPhase::Running { .. } => self.check_stalled(active.task, now),
            // The stop may have been lost; `tick` repeats it until it is confirmed.
            RunPhase::Stopping { .. } => {}
        }
        if let Some(step) = self
            .jobs
            .get_mut(active.task.job())
            .and_then(|job| job.step_mut(active.task.step()))
        {
            step.save_checkpoint(active.task.index(), active.checkpoint.clone());
        }
        self.jobs.set_started(active.task.job());
        self.record_location(slot, active.task, now);
    }

    /// Stops runs that are not listed and whose start had timed out before the listing was requested.
    fn stop_missing(
        &mut self,
        slot: ExecutorSlot,
        present: &HashSet<(TaskKey, RunNumber)>,
        sent_at: Timestamp,
    ) {
        for task in self.missing(slot, present) {
            let phase = self.runs.get(task).map(|run| run.phase);
            if matches!(phase, Some(RunPhase::Unconfirmed { since }) if since < sent_at) {
                self.stop(task);
                if self.is_gang(task.step()) {
                    self.stop_step(task);
                }
            }
        }
    }

    /// Drops runs that a complete listing lacks although the executor had confirmed their start or stop before the listing was
    /// requested.
    fn drop_missing(
        &mut self,
        slot: ExecutorSlot,
        present: &HashSet<(TaskKey, RunNumber)>,
        sent_at: Timestamp,
    ) {
        for task in self.missing(slot, present) {
            let Some(run) = self.runs.get(task) else {
                continue;
            };
            match run.phase {
                RunPhase::Running { since } if since < sent_at => {
                    let executor = &self.fleet.get(slot).entry.id;
                    tracing::warn!(%task, run = %run.number, %executor, "dispatch: executor no longer lists a confirmed run, the run is lost");
                    self.drop_run(task);
                    if self.is_gang(task.step()) {
                        self.stop_step(task);
                    }
                }
                RunPhase::Stopping {
                    confirmed: Some(at),
                } if at < sent_at => self.drop_run(task),
                _ => {}
            }
        }
    }

    /// Returns the tasks of an executor whose runs are not listed.
    fn missing(&self, slot: ExecutorSlot, present: &HashSet<(TaskKey, RunNumber)>) -> Vec<TaskKey> {
        let tasks = self.fleet.get(slot).tasks.iter().copied();
        let is_missing = |task: &TaskKey| {
            let run = self.runs.get(*task);
            run.is_some_and(|run| !present.contains(&(*task, run.number)))
        };
        tasks.filter(is_missing).collect()
    }

    fn check_stalled(&mut self, task: TaskKey, now: Timestamp) {
        let Some(run) = self.runs.get(task) else {
            return;
        };
        let idle = now.since(run.progress.1);
        let job = self.jobs.get(task.job());
        let can_stall = job.is_some_and(|job| !job.is_long_running(task.step()));
        if !can_stall || idle < self.limits.stall_timeout || run.progress.0 >= 100 {
            return;
        }
        let executor = self.fleet.get_mut(run.slot);
        tracing::warn!(
            %task, run = %run.number, executor = %executor.entry.id, percent = run.progress.0,
            idle_ms = idle.get(), "dispatch: run makes no progress, stopping it and avoiding its executor"
        );
        executor.health.mark_suspect(now);
        match self.is_gang(task.step()) {
            true => self.stop_step(task),
            false => self.stop(task),
        }
    }
}
