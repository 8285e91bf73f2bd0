//! Adoption of workers whose home shard has no owner and can't get one because the store is unavailable.
//!
//! An adopted worker serves only requests to its executors. Tasks are not started on it: a successor must be able to
//! find every task, so the use of the worker would have to be in the journal first, and the store is unavailable. Once
//! the store is back, the home shard gets an owner and the worker is returned, so recording its use then would not pay.
//! Tasks of the previous owner keep running and keep their capacity; the inventory lists them as tasks of another
//! shard.
//!
//! A worker grants its lease to one process at a time, so peers need not agree on which of them adopts it.

use std::collections::BTreeSet;

use crate::id::WorkerId;
use crate::shard::worker_assignment::WorkerAssignment;
use crate::shard::{Effect, Shard, WorkerSpec};
use crate::unit::Timestamp;

impl Shard {
    /// Sets the workers of other shards that this shard adopts. Adopted workers that are missing from the list are
    /// returned.
    pub fn set_adopted_workers(&mut self, adopted: &[WorkerSpec], now: Timestamp) {
        for spec in adopted {
            match self
                .workers
                .get(&spec.worker)
                .map(|worker_record| worker_record.assignment)
            {
                Some(WorkerAssignment::Home | WorkerAssignment::Adopted) => continue,
                Some(WorkerAssignment::Returned) => {}
                None => self.add_worker(spec),
            }
            if let Some(worker_record) = self.workers.get_mut(&spec.worker) {
                worker_record.assignment = WorkerAssignment::Adopted;
            }
            for executor in &spec.executors {
                self.slots.upsert(executor, &spec.worker);
            }
        }
        let named: BTreeSet<&WorkerId> = adopted.iter().map(|spec| &spec.worker).collect();
        let workers = self.workers.values();
        let returned = workers.filter(|worker_record| {
            worker_record.assignment != WorkerAssignment::Home
                && !named.contains(&worker_record.worker)
        });
        let returned: Vec<WorkerId> = returned
            .map(|worker_record| worker_record.worker.clone())
            .collect();
        for worker in &returned {
            self.return_worker(worker);
        }
        self.schedule(now);
    }

    /// Returns the workers whose leases are to be renewed.
    pub fn leased_workers(&self) -> BTreeSet<WorkerId> {
        let wanted = self.workers.values();
        let wanted =
            wanted.filter(|worker_record| worker_record.assignment != WorkerAssignment::Returned);
        wanted
            .map(|worker_record| worker_record.worker.clone())
            .collect()
    }

    fn return_worker(&mut self, worker: &WorkerId) {
        let Some(worker_record) = self.workers.get_mut(worker) else {
            return;
        };
        if worker_record.assignment == WorkerAssignment::Adopted {
            worker_record.assignment = WorkerAssignment::Returned;
            let epoch = worker_record.lease.epoch();
            self.lease_refused(worker);
            if let Some(epoch) = epoch {
                let worker = worker.clone();
                self.effects.push(Effect::ReleaseLease { worker, epoch });
            }
        }
        if !self.slots.in_use_on(worker) {
            self.workers.remove(worker);
            self.fleet.remove_worker(worker);
            self.slots.remove_worker(worker);
        }
    }

    /// Returns true if a lease grant arrived too late to be used.
    pub(super) fn rejects_grant(&self, worker: &WorkerId) -> bool {
        let worker_record = self.workers.get(worker);
        self.leases_released()
            || worker_record
                .is_none_or(|worker_record| worker_record.assignment == WorkerAssignment::Returned)
    }

    /// Makes this shard the home of a worker that it had adopted. Happens when a change of the number of shards moves
    /// the worker here.
    pub(super) fn set_home(&mut self, worker: &WorkerId, now: Timestamp) {
        if let Some(worker_record) = self.workers.get_mut(worker) {
            worker_record.assignment = WorkerAssignment::Home;
            self.record_worker(worker, now);
        }
    }
}
