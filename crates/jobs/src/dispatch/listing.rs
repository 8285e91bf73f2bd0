use std::collections::HashSet;

use lagoon_core::unit::{Millis, Timestamp};

use crate::dispatch::Dispatcher;
use crate::dispatch::core::Core;
use crate::fleet::ExecutorSlot;
use crate::id::{JobId, Life, RunNumber, TaskKey};
use crate::job::TaskPhase;
use crate::run::{EndedRow, Listing, Run, RunPhase, RunningRow};
use crate::spec::StepSpec;

/// Time for which an end waits for its job to become known. A job is stored before its first start, so the store's
/// watch reports it soon.
const UNKNOWN_JOB_WAIT: Millis = Millis::new(5_000);

impl<S> Dispatcher<S> {
    /// Takes in what an executor lists in answer to a hold that was sent at `asked`.
    pub fn listed(
        &mut self,
        slot: ExecutorSlot,
        listing: &Listing,
        asked: Timestamp,
        now: Timestamp,
    ) {
        self.core.note_life(slot, listing.life, now);
        self.core.apply_listing(slot, listing, asked, now);
    }
}

impl Core {
    /// Compares the life that an executor names with the one known; what an earlier life ran is gone.
    pub(super) fn note_life(&mut self, slot: ExecutorSlot, life: Option<Life>, now: Timestamp) {
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

    /// Drops a run that ended with an earlier life of its executor. Any other waits for a list of the new life: an order to
    /// start may still arrive there, or the new life has carried it out.
    fn lose_run(&mut self, task: TaskKey, life: Option<Life>) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        let has_ended = run.ended_before(life);
        match &mut run.phase {
            RunPhase::Running { .. } | RunPhase::Stopping { confirmed: Some(_) } if has_ended => {
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
                self.order_stop(slot, task, number);
            }
            RunPhase::Starting | RunPhase::Unconfirmed { .. } => self.stop(task),
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
            if self.puts_off(slot, end, now) {
                break;
            }
            let record = self.apply_end(slot, end, now);
            let executor = self.fleet.get_mut(slot);
            executor.ends.handle(end.sequence, end.task.job(), record);
            executor.ends.advance(&self.ledger);
        }
        self.fleet.get_mut(slot).strays.clear();
        let mut present: HashSet<(TaskKey, RunNumber)> = HashSet::new();
        for row in &listing.running {
            present.insert((row.task, row.number));
            self.apply_row(slot, row, now);
        }
        if listing.complete {
            self.drop_missing(slot, &present, asked);
        } else {
            tracing::info!(
                executor = %self.fleet.get(slot).entry.id, ends = listing.ended.len(),
                "dispatch: the list of ends has another page"
            );
        }
    }

    /// Tells whether an end has to wait for its job to become known; the executor lists it again.
    fn puts_off(&mut self, slot: ExecutorSlot, end: &EndedRow, now: Timestamp) -> bool {
        let is_known = self.jobs.is_known(end.task.job());
        let executor = self.fleet.get_mut(slot);
        if is_known {
            executor.puts_off_since = None;
            return false;
        }
        if executor.puts_off_since.is_none() {
            tracing::info!(task = %end.task, run = %end.number, executor = %executor.entry.id, "dispatch: end of an unknown job waits");
        }
        let since = *executor.puts_off_since.get_or_insert(now);
        let waits = now.since(since) < UNKNOWN_JOB_WAIT;
        if !waits {
            tracing::warn!(task = %end.task, run = %end.number, executor = %executor.entry.id, how = ?end.how, "dispatch: end of an unknown job");
        }
        waits
    }

    fn apply_row(&mut self, slot: ExecutorSlot, row: &RunningRow, now: Timestamp) {
        let life = self.fleet.get(slot).life;
        let Some(run) = self.runs.matching(row.task, row.number, slot) else {
            self.apply_unknown_row(slot, row, now);
            return;
        };
        run.listed_by = life;
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
            step.save(row.task.index(), row.checkpoint.clone());
        }
        self.jobs.set_started(row.task.job());
    }

    /// Adopts a run that its job needs, such as one of an earlier owner, and stops any other.
    fn apply_unknown_row(&mut self, slot: ExecutorSlot, row: &RunningRow, now: Timestamp) {
        let adopted = self.adopt(slot, row, now);
        let executor = &self.fleet.get(slot).entry.id;
        tracing::info!(task = %row.task, run = %row.number, %executor, adopted, "dispatch: unexpected run listed");
        if adopted {
            return;
        }
        // A run of a job that has ended takes its room as well; one of an unknown job may take all of it.
        let spec = self
            .jobs
            .get(row.task.job())
            .and_then(|job| job.step_spec(row.task.step()));
        let executor = self.fleet.get_mut(slot);
        let need = spec.map_or(executor.entry.capacity, StepSpec::reserved);
        executor.strays.insert(row.task, (row.number, need));
        if self.jobs.is_known(row.task.job()) {
            self.order_stop(slot, row.task, row.number);
        }
    }

    fn adopt(&mut self, slot: ExecutorSlot, row: &RunningRow, now: Timestamp) -> bool {
        let task = row.task;
        let job = self.jobs.get(task.job());
        if self.runs.get(task).is_some()
            || !job.is_some_and(|job| job.is_live() && job.has_task(task))
        {
            return false;
        }
        self.jobs.begin_up_to(task.job(), task.step().occurrence());
        let Some(job) = self.jobs.get_mut(task.job()) else {
            return false;
        };
        let queue = self.policy.queue(job.record().queue());
        let spec = job.step_spec(task.step());
        let need = spec.map(StepSpec::reserved).unwrap_or_default();
        let yields_at = spec.and_then(|spec| Self::yields_at(spec, queue));
        let step = job.step_mut(task.step());
        let Some(step) = step.filter(|step| step.phase(task.index()) == Some(TaskPhase::Idle))
        else {
            return false;
        };
        step.set_phase(task.index(), TaskPhase::Active);
        step.used(task.index(), row.number);
        step.save(task.index(), row.checkpoint.clone());
        self.jobs.set_started(task.job());
        let run = Run {
            task,
            number: row.number,
            slot,
            need,
            phase: RunPhase::Running { since: now },
            ordered: now,
            yields_at,
            progress: (row.percent, now),
            listed_by: self.fleet.get(slot).life,
        };
        self.runs.insert(run, &mut self.fleet);
        true
    }

    /// Adopts runs of a job that were listed before the job was known.
    pub(super) fn adopt_strays(&mut self, id: JobId, now: Timestamp) {
        let slots: Vec<ExecutorSlot> = self.fleet.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            let strays = &self.fleet.get(slot).strays;
            let of_job = strays.iter().filter(|(task, _)| task.job() == id);
            let found: Vec<(TaskKey, RunNumber)> =
                of_job.map(|(task, (n, _))| (*task, *n)).collect();
            for (task, number) in found {
                self.fleet.get_mut(slot).strays.remove(&task);
                let row = RunningRow {
                    task,
                    number,
                    checkpoint: None,
                    percent: 0,
                };
                self.apply_unknown_row(slot, &row, now);
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
        let job = self.jobs.get(task.job());
        let can_stall = job.is_some_and(|job| !job.is_long_running(task.step()));
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
