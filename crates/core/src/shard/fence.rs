//! Fencing: the workers that earlier owners used answer before inherited work is started again.
//!
//! A worker that has seen the epoch of this owner refuses later starts by earlier ones, and its answer lists every task
//! that it knows of the shard. So work that no worker lists was never started.

use crate::id::{Incarnation, WorkerId};
use crate::shard::{Shard, ShardEvent, ShardPhase, TaskReport};
use crate::unit::Timestamp;

impl Shard {
    /// Returns the workers that have not answered yet, with their addresses.
    pub fn unfenced(&self) -> Vec<(WorkerId, String)> {
        let used = self.journal.state().workers();
        let address = |worker: &WorkerId| used.get(worker).map(|used| used.address.clone());
        let unfenced = self.unfenced.keys();
        unfenced
            .filter_map(|worker| Some((worker.clone(), address(worker)?)))
            .collect()
    }

    /// Moves on at once if no earlier owner used a worker.
    pub fn begin(&mut self, now: Timestamp) {
        self.check_fenced(now);
        self.schedule(now);
    }

    /// Takes the answer of a worker: its run and all tasks of this shard that it knows.
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
            self.inherited_lost = true;
        }
        let task_ttl = self.config.task_ttl;
        if let Some(holder) = self.workers.get_mut(worker) {
            holder.lease.on_fenced(now, task_ttl);
            holder.incarnation.get_or_insert(incarnation);
            holder.lapsed = false;
        }
        for report in tasks {
            self.on_phase(worker, &report.task, report.phase, now);
            self.change_place(worker, &report.task, |place| {
                place.run.get_or_insert(incarnation);
            });
        }
        self.fenced(worker, now);
        self.schedule(now);
    }

    pub(super) fn fenced(&mut self, worker: &WorkerId, now: Timestamp) {
        self.unfenced.remove(worker);
        self.check_fenced(now);
    }

    pub(super) fn check_fenced(&mut self, now: Timestamp) {
        if self.unfenced.is_empty() && self.phase() == ShardPhase::Fencing {
            self.life.handle(ShardEvent::Fenced);
            self.resolve_inherited(now);
            self.record_workers(now);
        }
    }
}
