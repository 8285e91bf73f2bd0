use lagoon_core::unit::Timestamp;

use crate::dispatch::core::Core;
use crate::dispatch::{Dispatcher, Serving};
use crate::fleet::ExecutorSlot;
use crate::id::TaskKey;
use crate::run::{Run, RunPhase};

impl Dispatcher<Serving> {
    /// Handles expired leases and unanswered stops. The driver calls this about once a second.
    pub fn tick(&mut self, now: Timestamp) {
        self.drop_expired(now);
        self.core.settle_inherited_locations(now);
        self.repeat_stops();
    }

    /// Drops the runs of executors whose leases have expired: an executor stops its runs when their lease expires.
    fn drop_expired(&mut self, now: Timestamp) {
        let core = &mut self.core;
        let expired: Vec<ExecutorSlot> = core
            .fleet
            .iter()
            .filter(|(_, e)| e.has_runs() && e.clock.has_expired(now))
            .map(|(slot, _)| slot)
            .collect();
        for slot in expired {
            core.fleet.get_mut(slot).unexpected_runs.clear();
            let lost = core.expired_runs(slot, now);
            if lost.is_empty() {
                continue;
            }
            let executor = core.fleet.get(slot);
            tracing::warn!(
                executor = %executor.entry.id, runs = lost.len(),
                heard_ms = executor.identity.listed_at().map(|at| now.since(at).get()), "dispatch: the lease of an executor expired, its runs are lost"
            );
            core.log_lost_runs(&lost, now);
            core.drop_runs(&lost);
        }
    }

    fn repeat_stops(&mut self) {
        let core = &mut self.core;
        let unanswered = core
            .runs
            .iter()
            .filter(|run| run.phase == RunPhase::Stopping { confirmed: None });
        let runs: Vec<_> = unanswered
            .map(|run| (run.slot, run.task, run.number))
            .collect();
        for (slot, task, number) in runs {
            core.request_stop(slot, task, number);
        }
    }
}

impl Core {
    /// Returns the tasks whose runs have ended because the lease of their executor has expired. A run that is not known to
    /// be in the current incarnation may be in a later one, where its lease may have been granted late.
    fn expired_runs(&self, slot: ExecutorSlot, now: Timestamp) -> Vec<TaskKey> {
        let executor = self.fleet.get(slot);
        let all_expired = executor.clock.has_expired_in_all_incarnations(now);
        let has_ended = |run: &Run| match run.phase {
            RunPhase::Starting => false,
            _ => all_expired || run.incarnation == executor.incarnation(),
        };
        let runs = executor
            .tasks
            .iter()
            .filter_map(|task| self.runs.get(*task));
        let ended = runs.filter(|run| has_ended(run));
        ended.map(|run| run.task).collect()
    }

    fn log_lost_runs(&self, tasks: &[TaskKey], now: Timestamp) {
        for run in tasks.iter().filter_map(|task| self.runs.get(*task)) {
            tracing::info!(
                task = %run.task, run = %run.number, executor = %self.fleet.get(run.slot).entry.id, phase = ?run.phase,
                ordered_ms = now.since(run.requested_at).get(), "dispatch: run is lost with the lease of its executor"
            );
        }
    }

    /// Drops runs that can't exist any more.
    pub(super) fn drop_runs(&mut self, tasks: &[TaskKey]) {
        for &task in tasks {
            self.drop_run(task);
            if self.is_gang(task.step()) {
                self.stop_step(task);
            }
        }
    }
}
