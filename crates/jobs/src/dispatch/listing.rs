use std::collections::HashSet;

use lagoon_core::unit::Timestamp;

use crate::dispatch::Dispatcher;
use crate::dispatch::core::Core;
use crate::fleet::ExecutorSlot;
use crate::id::{RunNumber, TaskKey};
use crate::run::{ActiveRun, Listing, RunPhase};

impl<S> Dispatcher<S> {
    /// Takes in what an executor lists in answer to a hold that was sent at `asked`.
    pub fn listed(
        &mut self,
        slot: ExecutorSlot,
        listing: &Listing,
        asked: Timestamp,
        now: Timestamp,
    ) {
        self.core.note_life(slot, listing.incarnation, now);
        self.core.apply_listing(slot, listing, asked, now);
    }
}

impl Core {
    fn apply_listing(
        &mut self,
        slot: ExecutorSlot,
        listing: &Listing,
        asked: Timestamp,
        now: Timestamp,
    ) {
        let max_lease = self.limits.max_lease;
        let executor = self.fleet.get_mut(slot);
        if listing.incarnation < executor.incarnation {
            tracing::debug!(executor = %executor.entry.id, "dispatch: list of an earlier life ignored");
            return;
        }
        executor
            .clock
            .record_reading(listing.executor_ms, asked, now);
        let is_first = executor.listed_at.is_none();
        executor.listed_at = Some(now);
        executor.is_unresponsive = false;
        if is_first {
            executor.clock.assume_granted(max_lease, now);
        }
        for end in &listing.ended {
            if self.fleet.get(slot).ends.is_handled(end.sequence) {
                continue;
            }
            if !self.waits_for_job(slot, end, now) {
                self.handle_end(slot, end, now);
            }
        }
        self.fleet.get_mut(slot).ends.advance(&self.write_queue);
        self.fleet.get_mut(slot).unexpected_runs.clear();
        let mut present: HashSet<(TaskKey, RunNumber)> = HashSet::new();
        for row in &listing.running {
            present.insert((row.task, row.number));
            self.apply_row(slot, row, now);
        }
        self.attribute_runs(slot, asked);
        self.stop_missing(slot, &present, asked);
        if listing.complete {
            self.unreported.remove(&slot);
            self.fleet.get_mut(slot).has_listed_all = true;
            self.drop_missing(slot, &present, asked);
        } else {
            tracing::info!(
                executor = %self.fleet.get(slot).entry.id, ends = listing.ended.len(),
                "dispatch: the list of ends has another page"
            );
        }
    }

    fn apply_row(&mut self, slot: ExecutorSlot, row: &ActiveRun, now: Timestamp) {
        let incarnation = self.fleet.get(slot).incarnation;
        let Some(run) = self.runs.matching(row.task, row.number, slot) else {
            self.apply_unknown_row(slot, row, now);
            return;
        };
        run.incarnation = incarnation;
        match run.phase {
            RunPhase::Starting | RunPhase::Unconfirmed { .. } => {
                run.phase = RunPhase::Running { since: now };
                run.progress = (row.percent, now);
            }
            RunPhase::Running { .. } if run.progress.0 != row.percent => {
                run.progress = (row.percent, now);
            }
            RunPhase::Running { .. } => self.check_stalled(row.task, now),
            // A stop may have been lost; the driver repeats it until it is answered.
            RunPhase::Stopping { .. } => {}
        }
        if let Some(step) = self
            .jobs
            .get_mut(row.task.job())
            .and_then(|job| job.step_mut(row.task.step()))
        {
            step.save_checkpoint(row.task.index(), row.checkpoint.clone());
        }
        self.jobs.set_started(row.task.job());
    }

    /// Stops runs that a list lacks although the answer to their start was given up before it was asked for.
    fn stop_missing(
        &mut self,
        slot: ExecutorSlot,
        present: &HashSet<(TaskKey, RunNumber)>,
        asked: Timestamp,
    ) {
        for task in self.missing(slot, present) {
            let phase = self.runs.get(task).map(|run| run.phase);
            if matches!(phase, Some(RunPhase::Unconfirmed { since }) if since < asked) {
                self.stop(task);
                if self.is_gang(task.step()) {
                    self.stop_step(task);
                }
            }
        }
    }

    /// Drops runs that a complete list lacks although the executor had confirmed them before it was asked.
    fn drop_missing(
        &mut self,
        slot: ExecutorSlot,
        present: &HashSet<(TaskKey, RunNumber)>,
        asked: Timestamp,
    ) {
        for task in self.missing(slot, present) {
            let Some(run) = self.runs.get(task) else {
                continue;
            };
            match run.phase {
                RunPhase::Running { since } if since < asked => {
                    let executor = &self.fleet.get(slot).entry.id;
                    tracing::warn!(%task, run = %run.number, %executor, "dispatch: run is no longer listed");
                    self.drop_run(task);
                    if self.is_gang(task.step()) {
                        self.stop_step(task);
                    }
                }
                RunPhase::Stopping {
                    confirmed: Some(at),
                } if at < asked => self.drop_run(task),
                _ => {}
            }
        }
    }

    /// Returns the tasks of an executor whose runs a list lacks.
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
            idle_ms = idle.get(), "dispatch: run makes no progress, stopping it"
        );
        executor.health.mark_suspect(now);
        match self.is_gang(task.step()) {
            true => self.stop_step(task),
            false => self.stop(task),
        }
    }
}
