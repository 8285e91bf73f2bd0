//! Workers of other shards, used while their home shard has no owner and can't get one because the store is down.
//!
//! An adopted worker serves only requests to its executors. A task that a shard starts must be found by the shard's
//! successor, so the use of the worker must be in the journal first, and the store is down. When it is back, the home
//! shard gets an owner and the worker is given back, so recording the use then is not worth it. Tasks of the dead owner
//! run on and keep their capacity: they are foreign tasks in the inventory.
//!
//! The worker grants its lease to one process at a time, so it does not matter whether peers agree on who adopts it.

use std::collections::BTreeSet;

use crate::id::WorkerId;
use crate::shard::worker_assignment::WorkerAssignment;
use crate::shard::{Effect, Shard, WorkerSpec};
use crate::unit::Timestamp;

impl Shard {
    /// Takes all workers that this shard is to use for others now. Those that are no longer named are given back.
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
        let over = workers.filter(|worker_record| {
            worker_record.assignment != WorkerAssignment::Home
                && !named.contains(&worker_record.worker)
        });
        let over: Vec<WorkerId> = over
            .map(|worker_record| worker_record.worker.clone())
            .collect();
        for worker in &over {
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

    /// Tells whether a grant for the worker comes too late to be used.
    pub(super) fn rejects_grant(&self, worker: &WorkerId) -> bool {
        let worker_record = self.workers.get(worker);
        self.leases_released()
            || worker_record
                .is_none_or(|worker_record| worker_record.assignment == WorkerAssignment::Returned)
    }

    /// Makes a worker that this shard adopted its own: its home is here after a change of the number of shards.
    pub(super) fn set_home(&mut self, worker: &WorkerId, now: Timestamp) {
        if let Some(worker_record) = self.workers.get_mut(worker) {
            worker_record.assignment = WorkerAssignment::Home;
            self.record_worker(worker, now);
        }
    }
}
