//! Fencing: every worker that earlier owners used must respond before inherited work is started again.
//!
//! A worker that has seen the epoch of this owner refuses later starts by earlier owners, and its response lists every
//! task of the shard that it knows. So work that no worker lists was never started.

use crate::id::{Incarnation, WorkerId};
use crate::shard::{Shard, ShardEvent, ShardPhase, TaskReport};
use crate::unit::Timestamp;

impl Shard {
    /// Returns the workers that have not responded to fencing yet, with their addresses.
    pub fn unfenced(&self) -> Vec<(WorkerId, String)> {
        let used = self.journal.state().workers();
        let address = |worker: &WorkerId| used.get(worker).map(|used| used.address.clone());
        let unfenced = self.unfenced.keys();
        unfenced
            .filter_map(|worker| Some((worker.clone(), address(worker)?)))
            .collect()
    }

    /// Begins fencing, and completes it at once if no earlier owner used a worker.
    pub fn begin_fencing(&mut self, now: Timestamp) {
        self.check_fencing_complete(now);
        self.schedule(now);
    }

    /// Applies the fencing response of a worker: its incarnation and all tasks of this shard that it knows.
    pub fn on_fenced(
        &mut self,
        worker: &WorkerId,
        incarnation: Incarnation,
        tasks: Vec<TaskReport>,
        now: Timestamp,
    ) {
        let Some(used) = self.unfenced.get(worker) else {
            return;
        };
        if *used != incarnation {
            self.inherited_tasks_lost = true;
        }
        let task_ttl = self.config.task_ttl;
        if let Some(worker_record) = self.workers.get_mut(worker) {
            worker_record.lease.on_fenced(now, task_ttl);
            worker_record.incarnation.get_or_insert(incarnation);
            worker_record.tasks_lost = false;
        }
        for report in tasks {
            self.on_task_phase(worker, &report.task, report.phase, now);
            self.update_placement(worker, &report.task, |placement| {
                placement.incarnation.get_or_insert(incarnation);
            });
        }
        self.mark_fenced(worker, now);
        self.schedule(now);
    }

    pub(super) fn mark_fenced(&mut self, worker: &WorkerId, now: Timestamp) {
        self.unfenced.remove(worker);
        self.check_fencing_complete(now);
    }

    pub(super) fn check_fencing_complete(&mut self, now: Timestamp) {
        if self.unfenced.is_empty() && self.phase() == ShardPhase::Fencing {
            self.lifecycle.handle(ShardEvent::Fenced);
            self.resolve_inherited(now);
            self.record_workers(now);
        }
    }
}
