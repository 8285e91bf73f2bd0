use lagoon_core::unit::Timestamp;

use crate::dispatch::{Dispatcher, Recovering, Serving};
use crate::fleet::{Availability, Executor, ExecutorRecord, ExecutorSlot};
use crate::id::ExecutorId;

impl Dispatcher<Recovering> {
    /// Takes over the record of an executor on which earlier owners may have started tasks, after the list of executors.
    pub fn load_executor(&mut self, record: ExecutorRecord, now: Timestamp) {
        let known = self.core.fleet.slot(&record.id);
        if let Some(slot) = known {
            let executor = self.core.fleet.get_mut(slot);
            // At another address it is in a new life, and what it ran at this one is gone.
            executor.is_recorded = executor.entry.address == record.address;
            return;
        }
        tracing::warn!(executor = %record.id, "dispatch: executor is not listed, earlier owners have used it");
        let (slot, _) = self.observe(record.into_entry(), now);
        let executor = self.core.fleet.get_mut(slot);
        executor.availability = Availability::Unlisted;
        executor.is_recorded = true;
    }
}

impl Dispatcher<Serving> {
    /// Returns up to `max` listed executors that are not recorded. Nothing starts on them before they are.
    pub fn unrecorded_executors(&self, max: usize) -> Vec<(ExecutorSlot, ExecutorRecord)> {
        let is_new = |e: &Executor| !e.is_recorded && e.availability != Availability::Unlisted;
        let executors = self.core.fleet.iter().filter(|(_, e)| is_new(e));
        let records = executors.map(|(slot, e)| (slot, ExecutorRecord::from(&e.entry)));
        records.take(max).collect()
    }

    /// Notes that records of executors are durable.
    pub fn executors_recorded(&mut self, records: &[(ExecutorSlot, ExecutorRecord)]) {
        for (slot, record) in records {
            let executor = self.core.fleet.get_mut(*slot);
            executor.is_recorded = executor.entry.address == record.address;
        }
    }

    /// Takes up to `max` recorded executors that are no longer listed and on which nothing can run any more. Their
    /// records are to be removed.
    pub fn take_gone_executors(&mut self, max: usize, now: Timestamp) -> Vec<ExecutorId> {
        if now <= self.core.inherited_lapse {
            return Vec::new();
        }
        let is_gone = |e: &Executor| {
            let is_unused = e.tasks.is_empty() && e.strays.is_empty() && e.clock.has_lapsed(now);
            e.is_recorded && e.availability == Availability::Unlisted && is_unused
        };
        let fleet = self.core.fleet.iter();
        let gone = fleet.filter(|(_, e)| is_gone(e)).map(|(slot, _)| slot);
        let slots: Vec<ExecutorSlot> = gone.take(max).collect();
        let forget = |slot| {
            let executor = self.core.fleet.get_mut(slot);
            executor.is_recorded = false;
            executor.entry.id.clone()
        };
        slots.into_iter().map(forget).collect()
    }
}
