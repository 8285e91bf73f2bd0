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
use crate::shard::holding::Holding;
use crate::shard::{Effect, Shard, WorkerSpec};
use crate::unit::Timestamp;

impl Shard {
    /// Takes all workers that this shard is to use for others now. Those that are no longer named are given back.
    pub fn set_adopted(&mut self, adopted: &[WorkerSpec], now: Timestamp) {
        for spec in adopted {
            match self.workers.get(&spec.worker).map(|holder| holder.holding) {
                Some(Holding::Home | Holding::Adopted) => continue,
                Some(Holding::GivenBack) => {}
                None => self.add_worker(spec),
            }
            if let Some(holder) = self.workers.get_mut(&spec.worker) {
                holder.holding = Holding::Adopted;
            }
            for executor in &spec.executors {
                self.slots.upsert(executor, &spec.worker);
            }
        }
        let named: BTreeSet<&WorkerId> = adopted.iter().map(|spec| &spec.worker).collect();
        let workers = self.workers.values();
        let over = workers
            .filter(|holder| holder.holding != Holding::Home && !named.contains(&holder.worker));
        let over: Vec<WorkerId> = over.map(|holder| holder.worker.clone()).collect();
        for worker in &over {
            self.give_worker_back(worker);
        }
        self.schedule(now);
    }

    /// Returns the workers whose leases are to be renewed.
    pub fn leased_workers(&self) -> BTreeSet<WorkerId> {
        let wanted = self.workers.values();
        let wanted = wanted.filter(|holder| holder.holding != Holding::GivenBack);
        wanted.map(|holder| holder.worker.clone()).collect()
    }

    fn give_worker_back(&mut self, worker: &WorkerId) {
        let Some(holder) = self.workers.get_mut(worker) else {
            return;
        };
        if holder.holding == Holding::Adopted {
            holder.holding = Holding::GivenBack;
            let epoch = holder.lease.epoch();
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
    pub(super) fn grant_unwanted(&self, worker: &WorkerId) -> bool {
        let holder = self.workers.get(worker);
        self.leases_released() || holder.is_none_or(|holder| holder.holding == Holding::GivenBack)
    }

    /// Makes a worker that this shard adopted its own: its home is here after a change of the number of shards.
    pub(super) fn set_home(&mut self, worker: &WorkerId, now: Timestamp) {
        if let Some(holder) = self.workers.get_mut(worker) {
            holder.holding = Holding::Home;
            self.record_worker(worker, now);
        }
    }
}
