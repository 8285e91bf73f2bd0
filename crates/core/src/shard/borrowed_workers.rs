//! Tasks of this shard on borrowed workers, whose lease another shard holds.

use std::collections::BTreeSet;

use crate::id::{Incarnation, TaskId, WorkerId};
use crate::shard::after_stop::AfterStop;
use crate::shard::placement_state::PlacementState;
use crate::shard::task_placement::TaskPlacement;
use crate::shard::{Effect, Shard, TaskReport};
use crate::unit::{Millis, Timestamp};

/// Time after which a start counts as not received if the worker does not list the task.
const START_ARRIVAL_TIMEOUT: Millis = Millis::new(3_000);

impl Shard {
    /// Removes the recorded workers whose home is another shard, after a claim. They are fenced and then polled for
    /// their tasks. Their lease holder renews the tasks, so the passing of time does not show that a task has stopped.
    pub fn forget_borrowed_workers(&mut self, is_home: impl Fn(&WorkerId) -> bool) {
        let borrowed = self.workers.keys().filter(|worker| !is_home(worker));
        let borrowed: Vec<WorkerId> = borrowed.cloned().collect();
        for worker in borrowed {
            self.workers.remove(&worker);
            self.fleet.remove_worker(&worker);
        }
    }

    /// Returns the workers of other shards that may run tasks of this shard.
    pub fn borrowed_workers(&self) -> BTreeSet<WorkerId> {
        let placements = self.records.values().flat_map(|record| &record.placements);
        let unfinished = placements.filter(|placement| {
            !placement.is_finished()
                && !self.workers.contains_key(&placement.worker)
                && !self.unfenced.contains_key(&placement.worker)
        });
        unfinished
            .map(|placement| placement.worker.clone())
            .collect()
    }

    /// Applies the list of this shard's tasks that a borrowed worker reports.
    pub fn on_borrowed_inventory(
        &mut self,
        worker: &WorkerId,
        incarnation: Incarnation,
        tasks: Vec<TaskReport>,
        now: Timestamp,
    ) {
        let used = self.journal.state().workers().get(worker);
        let used = used.map(|used| used.incarnation);
        let listed: BTreeSet<TaskId> = tasks.iter().map(|report| report.task.clone()).collect();
        for report in tasks {
            self.on_task_phase(worker, &report.task, report.phase, now);
        }
        for (task, placement, due) in self.unlisted(worker, &listed, now) {
            let restarted = placement
                .incarnation
                .or(used)
                .is_some_and(|known| known < incarnation);
            match placement.state {
                _ if restarted => self.on_lost(worker, &task, now),
                PlacementState::Starting | PlacementState::InDoubt if placement.stopping => {
                    let worker = worker.clone();
                    self.effects.push(Effect::Stop { worker, task });
                }
                PlacementState::Starting | PlacementState::InDoubt if due => {
                    self.stop_all(task.work(), AfterStop::Requeue);
                }
                _ => {}
            }
        }
        self.schedule(now);
    }

    /// Returns the unfinished placements on a worker that `listed` does not contain, and for each whether its start
    /// must have arrived by now.
    fn unlisted(
        &self,
        worker: &WorkerId,
        listed: &BTreeSet<TaskId>,
        now: Timestamp,
    ) -> Vec<(TaskId, TaskPlacement, bool)> {
        let mut unlisted = Vec::new();
        for record in self.records.values() {
            let due = record
                .placed_at
                .is_none_or(|at| now >= at.after(START_ARRIVAL_TIMEOUT));
            let unfinished = record.placements.iter();
            let unfinished = unfinished
                .filter(|placement| placement.worker == *worker && !placement.is_finished());
            for placement in unfinished {
                let task = placement.task(&record.id);
                if !listed.contains(&task) {
                    unlisted.push((task, placement.clone(), due));
                }
            }
        }
        unlisted
    }

    /// Marks the tasks on a worker of another shard as lost after an operator has confirmed its host dead.
    pub(super) fn mark_borrowed_tasks_lost(&mut self, worker: &WorkerId, now: Timestamp) {
        for (task, _, _) in self.unlisted(worker, &BTreeSet::new(), now) {
            self.on_lost(worker, &task, now);
        }
    }

    /// Records the release of borrowed workers that run nothing any more, so that a successor need not fence them.
    pub fn release_borrowed_workers(&mut self) {
        // Before the host list arrives, own workers can't be told from borrowed ones.
        if self.workers.is_empty() || self.borrowing.is_some() {
            return;
        }
        let placements = self.records.values().flat_map(|record| &record.placements);
        let placed: BTreeSet<&WorkerId> = placements.map(|placement| &placement.worker).collect();
        let used = self.journal.state().workers().keys();
        let unused =
            used.filter(|worker| !placed.contains(worker) && !self.workers.contains_key(*worker));
        let unused: Vec<WorkerId> = unused.cloned().collect();
        if self.journal.is_idle() {
            for worker in &unused {
                self.record_worker_released(worker);
            }
        }
    }
}
