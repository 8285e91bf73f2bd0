//! The workers of the shard as the host list and the operators see them.

use std::collections::BTreeSet;

use crate::id::{HostId, WorkerId};
use crate::lease::WorkerEvent;
use crate::placement::ClosedReason;
use crate::shard::holding::Holding;
use crate::shard::worker_record::WorkerRecord;
use crate::shard::{Shard, WorkerSpec};
use crate::unit::Timestamp;

impl Shard {
    /// Takes the workers whose home is this shard, and the hosts that are leaving. A worker that is no longer listed
    /// counts as leaving: the list lags and says nothing about what still runs.
    pub fn set_workers(
        &mut self,
        listed: &[WorkerSpec],
        leaving: &BTreeSet<HostId>,
        now: Timestamp,
    ) {
        for spec in listed {
            match self.workers.get(&spec.worker).map(|holder| holder.holding) {
                None => self.add_worker(spec),
                Some(Holding::Home) => self.update_worker(spec),
                Some(Holding::Adopted | Holding::GivenBack) => self.set_home(&spec.worker, now),
            }
            for executor in &spec.executors {
                self.slots.upsert(executor, &spec.worker);
            }
            self.reopen(&spec.worker);
        }
        let listed: BTreeSet<&WorkerId> = listed.iter().map(|spec| &spec.worker).collect();
        let workers = self.workers.values();
        let workers = workers.filter(|holder| holder.holding == Holding::Home);
        let states: Vec<(WorkerId, bool)> = workers
            .map(|holder| {
                let gone = !listed.contains(&holder.worker) || leaving.contains(&holder.host);
                (holder.worker.clone(), gone)
            })
            .collect();
        for (worker, gone) in states {
            self.set_leaving(&worker, gone);
        }
        self.forget_gone(&listed, now);
        self.schedule(now);
    }

    pub(super) fn add_worker(&mut self, spec: &WorkerSpec) {
        let margin = self.config.lease_margin;
        let holder = WorkerRecord::new(
            spec.worker.clone(),
            spec.host.clone(),
            spec.address.clone(),
            margin,
        );
        self.workers.insert(spec.worker.clone(), holder);
        self.fleet
            .upsert_worker(spec.worker.clone(), spec.rack.clone(), spec.capacity);
        self.fleet.close(&spec.worker, ClosedReason::NoLease);
    }

    /// Takes what the list says of a worker whose lease, which would say more, was never held.
    fn update_worker(&mut self, spec: &WorkerSpec) {
        let holder = self.workers.get_mut(&spec.worker);
        if let Some(holder) = holder.filter(|holder| holder.lease.epoch().is_none()) {
            holder.address = spec.address.clone();
            self.fleet
                .upsert_worker(spec.worker.clone(), spec.rack.clone(), spec.capacity);
        }
    }

    pub(super) fn set_leaving(&mut self, worker: &WorkerId, leaving: bool) {
        let Some(holder) = self.workers.get_mut(worker) else {
            return;
        };
        let drained = leaving || self.policy.drained_hosts.contains(&holder.host);
        let event = match drained {
            true => WorkerEvent::HostLeaving,
            false => WorkerEvent::HostReturned,
        };
        let _ = holder.life.handle(event);
        let was_open = self.is_open(worker);
        match drained {
            true => self.fleet.close(worker, ClosedReason::Draining),
            false => self.fleet.open(worker, ClosedReason::Draining),
        };
        self.reopen(worker);
        if !was_open && self.is_open(worker) {
            self.capacity_freed();
        }
    }

    /// Applies the drained hosts of a new policy.
    pub(super) fn apply_drains(&mut self) {
        let workers: Vec<WorkerId> = self.workers.keys().cloned().collect();
        for worker in workers {
            let drained = self
                .fleet
                .get(&worker)
                .is_some_and(|slot| slot.closed().contains(ClosedReason::Draining));
            let host = self.workers.get(&worker).map(|holder| &holder.host);
            let by_policy = host.is_some_and(|host| self.policy.drained_hosts.contains(host));
            if by_policy || drained {
                self.set_leaving(&worker, by_policy);
            }
        }
    }

    /// Forgets workers that are not listed, hold nothing and whose tasks have certainly stopped.
    fn forget_gone(&mut self, listed: &BTreeSet<&WorkerId>, now: Timestamp) {
        let gone = |holder: &&WorkerRecord| {
            holder.holding == Holding::Home
                && !listed.contains(&holder.worker)
                && holder.claims.is_empty()
                && !self.unfenced.contains_key(&holder.worker)
                && holder.lease.is_expired(now)
                && !holder.lease.tasks_may_run(now)
        };
        let gone: Vec<WorkerId> = self
            .workers
            .values()
            .filter(gone)
            .map(|holder| holder.worker.clone())
            .collect();
        for worker in gone {
            self.workers.remove(&worker);
            self.fleet.remove_worker(&worker);
            self.health.remove(&worker);
            self.slots.remove_worker(&worker);
            self.record_worker_released(&worker);
        }
    }
}
