use std::collections::{BTreeSet, HashMap};

use crate::id::{ExecutorId, ServiceName, WorkerId};
use crate::shard::ExecutorSpec;
use crate::shard::executor_record::ExecutorRecord;
use crate::unit::{Millis, Timestamp};

/// Delay before an unreachable executor is tried again.
const UNREACHABLE_BACKOFF: Millis = Millis::new(1_000);

/// Executors of the shard's workers, ordered by free slots for each service.
#[derive(Debug, Default)]
pub(super) struct SlotTable {
    executors: HashMap<ExecutorId, ExecutorRecord>,
    free: HashMap<ServiceName, BTreeSet<(u32, ExecutorId)>>,
}

impl SlotTable {
    /// Adds an executor or updates its declared slots. It stays closed until its worker is opened.
    pub(super) fn upsert(&mut self, spec: &ExecutorSpec, worker: &WorkerId) {
        if let Some(known) = self.executors.get(&spec.executor)
            && (known.slots, &known.service, &known.worker) == (spec.slots, &spec.service, worker)
        {
            return;
        }
        self.remove(&spec.executor);
        let record = ExecutorRecord {
            executor: spec.executor.clone(),
            service: spec.service.clone(),
            worker: worker.clone(),
            slots: spec.slots,
            own_in_use: 0,
            inherited_in_use: spec.slots,
            open: false,
            unavailable_until: Timestamp::default(),
        };
        self.executors.insert(spec.executor.clone(), record);
    }

    pub(super) fn remove(&mut self, executor: &ExecutorId) {
        self.remove_free(executor);
        self.executors.remove(executor);
    }

    pub(super) fn remove_worker(&mut self, worker: &WorkerId) {
        for executor in self.update_worker(worker, |record| record.open = false) {
            self.remove(&executor);
        }
    }

    pub(super) fn get(&self, executor: &ExecutorId) -> Option<&ExecutorRecord> {
        self.executors.get(executor)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &ExecutorRecord> {
        self.executors.values()
    }

    /// Opens the executors of a worker whose lease was granted. Every slot counts as in use until the executor reports
    /// it free, because an earlier lease holder may have requests there.
    pub(super) fn open_worker(&mut self, worker: &WorkerId) -> Vec<ExecutorId> {
        self.update_worker(worker, |record| {
            record.open = true;
            record.inherited_in_use = record.slots.saturating_sub(record.own_in_use);
        })
    }

    pub(super) fn set_open(&mut self, worker: &WorkerId, open: bool) {
        self.update_worker(worker, |record| record.open = open);
    }

    /// Applies the number of slots that the executor reports as in use.
    pub(super) fn set_reported_in_use(&mut self, executor: &ExecutorId, in_use: u32) {
        self.update(executor, |record| {
            let others = in_use.saturating_sub(record.own_in_use);
            // A request in flight is not in the report yet, so the count of inherited requests can only fall.
            record.inherited_in_use = record.inherited_in_use.min(others);
        });
    }

    /// Marks all slots as in use after an executor refused although a slot seemed free.
    pub(super) fn mark_full(&mut self, executor: &ExecutorId) {
        self.update(executor, |record| {
            record.inherited_in_use = record.slots.saturating_sub(record.own_in_use);
        });
    }

    pub(super) fn back_off(&mut self, executor: &ExecutorId, now: Timestamp) {
        self.update(executor, |record| {
            record.unavailable_until = now.after(UNREACHABLE_BACKOFF)
        });
    }

    /// Takes a slot of the reachable executor with the most free slots.
    pub(super) fn acquire(&mut self, service: &ServiceName, now: Timestamp) -> Option<ExecutorId> {
        let free = self.free.get(service)?;
        let unavailable = |id: &ExecutorId| self.executors[id].unavailable_until > now;
        let found = free.iter().rev().find(|(_, id)| !unavailable(id));
        let id = found.map(|(_, id)| id.clone())?;
        self.update(&id, |record| record.own_in_use += 1);
        Some(id)
    }

    pub(super) fn has_free(&self, service: &ServiceName, now: Timestamp) -> bool {
        let free = self.free.get(service).into_iter().flatten();
        free.into_iter()
            .any(|(_, id)| self.executors[id].unavailable_until <= now)
    }

    /// Returns the total slots of a service's open executors.
    pub(super) fn slots_of(&self, service: &ServiceName) -> u32 {
        let open = self.executors.values().filter(|record| record.open);
        open.filter(|record| record.service == *service)
            .map(|record| record.slots)
            .sum()
    }

    pub(super) fn release(&mut self, executor: &ExecutorId) {
        self.update(executor, |record| {
            record.own_in_use = record.own_in_use.saturating_sub(1)
        });
    }

    /// Returns true if a request of this owner is outstanding at an executor.
    pub(super) fn in_use(&self) -> bool {
        self.executors.values().any(|record| record.own_in_use > 0)
    }

    /// Returns true if a request of this owner is outstanding at an executor of `worker`.
    pub(super) fn in_use_on(&self, worker: &WorkerId) -> bool {
        let mut records = self.executors.values();
        records.any(|record| record.worker == *worker && record.own_in_use > 0)
    }

    /// Returns executors with slots that an earlier lease holder may still use.
    pub(super) fn to_poll(&self) -> Vec<ExecutorId> {
        let polled = self
            .executors
            .values()
            .filter(|record| record.open && record.inherited_in_use > 0);
        polled.map(|record| record.executor.clone()).collect()
    }

    fn update_worker(
        &mut self,
        worker: &WorkerId,
        update: impl Fn(&mut ExecutorRecord),
    ) -> Vec<ExecutorId> {
        let of_worker = self
            .executors
            .values()
            .filter(|record| record.worker == *worker);
        let ids: Vec<_> = of_worker.map(|record| record.executor.clone()).collect();
        for id in &ids {
            self.update(id, &update);
        }
        ids
    }

    fn update(&mut self, executor: &ExecutorId, update: impl FnOnce(&mut ExecutorRecord)) {
        self.remove_free(executor);
        if let Some(record) = self.executors.get_mut(executor) {
            update(record);
            if record.open && record.free() > 0 {
                let entry = (record.free(), executor.clone());
                self.free
                    .entry(record.service.clone())
                    .or_default()
                    .insert(entry);
            }
        }
    }

    fn remove_free(&mut self, executor: &ExecutorId) {
        if let Some(record) = self.executors.get(executor)
            && let Some(free) = self.free.get_mut(&record.service)
        {
            free.remove(&(record.free(), executor.clone()));
        }
    }
}
