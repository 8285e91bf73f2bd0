use lagoon_core::unit::Timestamp;

use crate::dispatch::core::Core;
use crate::dispatch::{Dispatcher, Serving};
use crate::fleet::ExecutorSlot;
use crate::id::TaskKey;
use crate::run::RunPhase;

impl Dispatcher<Serving> {
    /// Handles expired leases and unanswered stops. The driver calls this about once a second.
    pub fn tick(&mut self, now: Timestamp) {
        self.drop_expired(now);
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
            let executor = core.fleet.get(slot);
            tracing::warn!(
                executor = %executor.entry.id, runs = executor.tasks.len(),
                heard_ms = executor.listed_at.map(|at| now.since(at).get()), "dispatch: the lease of an executor expired, its runs are lost"
            );
            core.log_lost_runs(slot, now);
            core.drop_runs(slot);
            core.fleet.get_mut(slot).unexpected_runs.clear();
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
    fn log_lost_runs(&self, slot: ExecutorSlot, now: Timestamp) {
        let executor = self.fleet.get(slot);
        let runs = executor
            .tasks
            .iter()
            .filter_map(|task| self.runs.get(*task));
        for run in runs {
            tracing::info!(
                task = %run.task, run = %run.number, executor = %executor.entry.id, phase = ?run.phase,
                ordered_ms = now.since(run.requested_at).get(), "dispatch: run is lost with the lease of its executor"
            );
        }
    }

    /// Drops all runs of an executor on which nothing can run any more.
    pub(super) fn drop_runs(&mut self, slot: ExecutorSlot) {
        let tasks: Vec<TaskKey> = self.fleet.get(slot).tasks.iter().copied().collect();
        for task in tasks {
            self.drop_run(task);
            if self.is_gang(task.step()) {
                self.stop_step(task);
            }
        }
    }
}
