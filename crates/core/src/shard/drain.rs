//! Workers added, drained and removed according to the host list and the policy.

use std::collections::BTreeSet;

use crate::id::{HostId, WorkerId};
use crate::lease::WorkerEvent;
use crate::placement::ClosedReason;
use crate::shard::worker_assignment::WorkerAssignment;
use crate::shard::worker_record::WorkerRecord;
use crate::shard::{Shard, WorkerSpec};
use crate::unit::Timestamp;

impl Shard {
    /// Applies the list of workers whose home is this shard and the set of leaving hosts. A worker that is no longer
    /// listed is treated as leaving and not removed: the list lags and does not say what still runs.
    pub fn set_workers(
        &mut self,
        listed: &[WorkerSpec],
        leaving: &BTreeSet<HostId>,
        now: Timestamp,
    ) {
        for spec in listed {
            match self
                .workers
                .get(&spec.worker)
                .map(|worker_record| worker_record.assignment)
            {
                None => self.add_worker(spec),
                Some(WorkerAssignment::Home) => self.update_worker(spec),
                Some(WorkerAssignment::Adopted | WorkerAssignment::Returned) => {
                    self.set_home(&spec.worker, now)
                }
            }
            for executor in &spec.executors {
                self.slots.upsert(executor, &spec.worker);
            }
            self.update_open_state(&spec.worker);
        }
        let listed: BTreeSet<&WorkerId> = listed.iter().map(|spec| &spec.worker).collect();
        let workers = self.workers.values();
        let workers =
            workers.filter(|worker_record| worker_record.assignment == WorkerAssignment::Home);
        let states: Vec<(WorkerId, bool)> = workers
            .map(|worker_record| {
                let is_leaving = !listed.contains(&worker_record.worker)
                    || leaving.contains(&worker_record.host);
                (worker_record.worker.clone(), is_leaving)
            })
            .collect();
        for (worker, is_leaving) in states {
            self.set_leaving(&worker, is_leaving);
        }
        self.remove_unlisted_workers(&listed, now);
        self.schedule(now);
    }

    pub(super) fn add_worker(&mut self, spec: &WorkerSpec) {
        let margin = self.config.lease_margin;
        let worker_record = WorkerRecord::new(
            spec.worker.clone(),
            spec.host.clone(),
            spec.address.clone(),
            margin,
        );
        self.workers.insert(spec.worker.clone(), worker_record);
        self.fleet
            .upsert_worker(spec.worker.clone(), spec.rack.clone(), spec.capacity);
        self.fleet.close(&spec.worker, ClosedReason::NoLease);
    }

    /// Applies the listed data of a worker that has not granted a lease yet. After a grant the worker's own data is
    /// used.
    fn update_worker(&mut self, spec: &WorkerSpec) {
        let worker_record = self.workers.get_mut(&spec.worker);
        if let Some(worker_record) =
            worker_record.filter(|worker_record| worker_record.lease.epoch().is_none())
        {
            worker_record.address = spec.address.clone();
            self.fleet
                .upsert_worker(spec.worker.clone(), spec.rack.clone(), spec.capacity);
        }
    }

    pub(super) fn set_leaving(&mut self, worker: &WorkerId, leaving: bool) {
        let Some(worker_record) = self.workers.get_mut(worker) else {
            return;
        };
        let drained = leaving || self.policy.drained_hosts.contains(&worker_record.host);
        let event = match drained {
            true => WorkerEvent::HostLeaving,
            false => WorkerEvent::HostReturned,
        };
        let _ = worker_record.lifecycle.handle(event);
        let was_open = self.is_open(worker);
        match drained {
            true => self.fleet.close(worker, ClosedReason::Draining),
            false => self.fleet.open(worker, ClosedReason::Draining),
        };
        self.update_open_state(worker);
        if !was_open && self.is_open(worker) {
            self.on_capacity_freed();
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
            let host = self
                .workers
                .get(&worker)
                .map(|worker_record| &worker_record.host);
            let by_policy = host.is_some_and(|host| self.policy.drained_hosts.contains(host));
            if by_policy || drained {
                self.set_leaving(&worker, by_policy);
            }
        }
    }

    /// Removes workers that are not listed, have no allocations, and whose tasks have certainly stopped.
    fn remove_unlisted_workers(&mut self, listed: &BTreeSet<&WorkerId>, now: Timestamp) {
        let removable = |worker_record: &&WorkerRecord| {
            worker_record.assignment == WorkerAssignment::Home
                && !listed.contains(&worker_record.worker)
                && worker_record.allocations.is_empty()
                && !self.unfenced.contains_key(&worker_record.worker)
                && worker_record.lease.is_expired(now)
                && !worker_record.lease.tasks_may_run(now)
        };
        let removed: Vec<WorkerId> = self
            .workers
            .values()
            .filter(removable)
            .map(|worker_record| worker_record.worker.clone())
            .collect();
        for worker in removed {
            self.workers.remove(&worker);
            self.fleet.remove_worker(&worker);
            self.health.remove(&worker);
            self.slots.remove_worker(&worker);
            self.record_worker_released(&worker);
        }
    }
}
