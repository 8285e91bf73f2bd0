use std::collections::HashSet;

use lagoon_core::unit::Timestamp;

use crate::dispatch::Dispatcher;
use crate::dispatch::core::Core;
use crate::fleet::ExecutorSlot;
use crate::id::{Life, RunNumber, TaskKey};
use crate::job::TaskPhase;
use crate::run::{Listing, Run, RunPhase, RunningRow};
use crate::spec::StepSpec;

impl<S> Dispatcher<S> {
    /// Takes in what an executor lists in answer to a hold that was sent at `asked`.
    pub fn listed(
        &mut self,
        slot: ExecutorSlot,
        listing: &Listing,
        asked: Timestamp,
        now: Timestamp,
    ) {
        self.core.note_life(slot, listing.life);
        self.core.apply_listing(slot, listing, asked, now);
    }
}

impl Core {
    /// Compares the life that an executor names with the one known; what an earlier life ran is gone.
    pub(super) fn note_life(&mut self, slot: ExecutorSlot, life: Option<Life>) {
        let executor = self.fleet.get_mut(slot);
        let known = executor.life;
        if life.is_none() || life <= known {
            return;
        }
        executor.begin_life(life);
        if known.is_none() {
            return;
        }
        executor.heard = None;
        let id = executor.entry.id.clone();
        let tasks: Vec<TaskKey> = executor.tasks.iter().copied().collect();
        tracing::warn!(executor = %id, runs = tasks.len(), "dispatch: executor started again, its runs are lost");
        for task in tasks {
            self.lose_run(task);
        }
    }

    /// Drops a run of an executor's earlier life, unless an order to start it may still arrive in the new life.
    fn lose_run(&mut self, task: TaskKey) {
        let is_confirmed = |run: &Run| {
            matches!(
                run.phase,
                RunPhase::Running { .. } | RunPhase::Stopping { confirmed: Some(_) }
            )
        };
        match self.runs.get(task).map(is_confirmed) {
            Some(true) => {
                self.drop_run(task);
                if self.is_gang(task.step()) {
                    self.stop_step(task);
                }
            }
            Some(false) => self.stop(task),
            None => {}
        }
    }

    fn apply_listing(
        &mut self,
        slot: ExecutorSlot,
        listing: &Listing,
        asked: Timestamp,
        now: Timestamp,
    ) {
        let max_lease = self.limits.max_lease;
        let executor = self.fleet.get_mut(slot);
        if listing.life < executor.life {
            tracing::debug!(executor = %executor.entry.id, "dispatch: list of an earlier life ignored");
            return;
        }
        executor.clock.read(listing.executor_ms, now);
        let is_first = executor.heard.is_none();
        executor.heard = Some(now);
        executor.is_silent = false;
        if is_first {
            executor.clock.assume_granted(max_lease, now);
        }
        self.unheard.remove(&slot);
        for end in &listing.ended {
            if self.fleet.get(slot).ends.is_handled(end.sequence) {
                continue;
            }
            let record = self.apply_end(slot, end, now);
            let executor = self.fleet.get_mut(slot);
            executor.ends.handle(end.sequence, end.task.job(), record);
            executor.ends.advance(&self.ledger);
        }
        let mut present: HashSet<(TaskKey, RunNumber)> = HashSet::new();
        for row in &listing.running {
            present.insert((row.task, row.number));
            self.apply_row(slot, row, is_first, now);
        }
        if listing.complete {
            self.drop_missing(slot, &present, asked);
        }
    }

    fn apply_row(&mut self, slot: ExecutorSlot, row: &RunningRow, is_first: bool, now: Timestamp) {
        let Some(run) = self.runs.matching(row.task, row.number, slot) else {
            self.apply_unknown_row(slot, row, is_first, now);
            return;
        };
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
        if let Some(step) = self.jobs.get_mut(row.task.job()).and_then(|job| job.step_mut(row.task.step())) {
            step.save(row.task.index(), row.checkpoint.clone());
        }
        self.jobs.set_started(row.task.job());
    }

    /// Adopts a run of an earlier owner, or stops one that must not exist.
    fn apply_unknown_row(
        &mut self,
        slot: ExecutorSlot,
        row: &RunningRow,
        is_first: bool,
        now: Timestamp,
    ) {
        let task = row.task;
        let can_adopt = is_first && self.runs.get(task).is_none();
        // A run of a job that has ended takes its room as well; one of an unknown job may take all of it.
        let spec = self.jobs.get(task.job()).and_then(|job| job.step_spec(task.step()));
        let capacity = self.fleet.get(slot).entry.capacity;
        let need = spec.map_or(capacity, StepSpec::reserved);
        let job = self.jobs.get_mut(task.job()).filter(|job| job.is_live() && job.has_task(task));
        let step = job.and_then(|job| job.step_mut(task.step()));
        let wanted = step.filter(|step| step.phase(task.index()) == Some(TaskPhase::Idle));
        let adopted = wanted.is_some() && can_adopt;
        if let (Some(step), true) = (wanted, can_adopt) {
            step.set_phase(task.index(), TaskPhase::Active);
            step.used(task.index(), row.number);
            step.save(task.index(), row.checkpoint.clone());
            self.jobs.set_started(task.job());
        }
        tracing::info!(
            %task, run = %row.number, executor = %self.fleet.get(slot).entry.id, adopted,
            "dispatch: unexpected run listed"
        );
        if !adopted && self.runs.get(task).is_some() {
            self.order_stop(slot, task, row.number);
            return;
        }
        let phase = RunPhase::Running { since: now };
        let run = Run {
            task,
            number: row.number,
            slot,
            need,
            phase,
            ordered: now,
            progress: (row.percent, now),
        };
        self.runs.insert(run, &mut self.fleet);
        if !adopted {
            self.stop(task);
        }
    }

    /// Drops runs that a complete list lacks although the executor had confirmed them before it was asked.
    fn drop_missing(
        &mut self,
        slot: ExecutorSlot,
        present: &HashSet<(TaskKey, RunNumber)>,
        asked: Timestamp,
    ) {
        let tasks: Vec<TaskKey> = self.fleet.get(slot).tasks.iter().copied().collect();
        for task in tasks {
            let Some(run) = self.runs.get(task) else {
                continue;
            };
            if present.contains(&(task, run.number)) {
                continue;
            }
            match run.phase {
                RunPhase::Running { since } if since < asked => {
                    tracing::warn!(%task, run = %run.number, "dispatch: run is no longer listed");
                    self.drop_run(task);
                }
                RunPhase::Stopping {
                    confirmed: Some(at),
                } if at < asked => self.drop_run(task),
                RunPhase::Unconfirmed { since } if since < asked => {
                    self.stop(task);
                    if self.is_gang(task.step()) {
                        self.stop_step(task);
                    }
                }
                _ => {}
            }
        }
    }

    fn check_stalled(&mut self, task: TaskKey, now: Timestamp) {
        let Some(run) = self.runs.get(task) else {
            return;
        };
        let idle = now.since(run.progress.1);
        let spec = self.jobs.get(task.job()).and_then(|job| job.step_spec(task.step()));
        let can_stall = spec.is_some_and(|spec| !spec.long_running);
        if !can_stall || idle < self.limits.stall || run.progress.0 >= 100 {
            return;
        }
        let executor = self.fleet.get_mut(run.slot);
        tracing::warn!(
            %task, run = %run.number, executor = %executor.entry.id, percent = run.progress.0,
            idle_ms = idle.get(), "dispatch: run makes no progress, stopping it"
        );
        executor.health.suspect(now);
        match self.is_gang(task.step()) {
            true => self.stop_step(task),
            false => self.stop(task),
        }
    }
}
