use lagoon_core::unit::Timestamp;

use crate::dispatch::{Dispatcher, Recovering, Serving};
use crate::fleet::{Availability, Executor, ExecutorRecord, ExecutorSlot};
use crate::id::ExecutorId;

impl Dispatcher<Recovering> {
    /// Loads the record of an executor on which earlier owners may have started tasks. Called after the list of executors has
    /// been read.
    pub fn load_executor(&mut self, record: ExecutorRecord, now: Timestamp) {
        let known = self.core.fleet.slot(&record.id);
        if let Some(slot) = known {
            let executor = self.core.fleet.get_mut(slot);
            // An executor with another address is a new incarnation, and the runs of the recorded one are lost.
            executor.is_recorded = executor.entry.address == record.address;
            return;
        }
        tracing::warn!(executor = %record.id, "dispatch: executor that earlier owners have used is not in the list, asking for its runs");
        let (slot, _) = self.observe(record.into_entry(), now);
        let executor = self.core.fleet.get_mut(slot);
        executor.availability = Availability::Unlisted;
        executor.is_recorded = true;
    }
}

impl Dispatcher<Serving> {
    /// Returns up to `max` executors that are ready and not recorded. No task starts on them before they are.
    pub fn unrecorded_executors(&self, max: usize) -> Vec<(ExecutorSlot, ExecutorRecord)> {
        let is_new = |e: &Executor| !e.is_recorded && e.availability == Availability::Ready;
        let executors = self.core.fleet.iter().filter(|(_, e)| is_new(e));
        let records = executors.map(|(slot, e)| (slot, ExecutorRecord::from(&e.entry)));
        records.take(max).collect()
    }

    /// Records that the records of executors are durable.
    pub fn executors_recorded(&mut self, records: &[(ExecutorSlot, ExecutorRecord)]) {
        for (slot, record) in records {
            let executor = self.core.fleet.get_mut(*slot);
            executor.is_recorded = executor.entry.address == record.address;
        }
    }

    /// Requeues executors whose records could not be removed.
    pub fn requeue_departed(&mut self, ids: Vec<ExecutorId>) {
        self.core.departed.extend(ids);
    }

    /// Takes up to `max` recorded executors that take no new tasks, on which nothing can run and whose ends are durable. Their
    /// records are to be removed, because a later owner would wait for executors that have left.
    pub fn take_departed_executors(&mut self, max: usize, now: Timestamp) -> Vec<ExecutorId> {
        let inherited_leases_expired = now > self.core.inherited_lease_end;
        let write_queue = &self.core.write_queue;
        let has_left = |e: &Executor| {
            // All runs of this owner have ended, and those of earlier owners are listed or their leases have expired. Without
            // the record a later owner would not ask for ends that are not durable, and would start their tasks again.
            let is_unused = !e.has_runs() && e.ends.is_settled(write_queue);
            let is_settled = is_unused
                && match e.identity.listed_at() {
                    Some(_) => e.is_fully_listed(now),
                    None => inherited_leases_expired,
                };
            e.is_recorded && e.availability != Availability::Ready && is_settled
        };
        let departed = &mut self.core.departed;
        let mut ids = departed.split_off(departed.len().saturating_sub(max));
        let fleet = &self.core.fleet;
        let has_returned = |id: &ExecutorId| {
            let executor = fleet.slot(id).map(|slot| fleet.get(slot));
            executor.is_some_and(|e| e.availability == Availability::Ready)
        };
        ids.retain(|id| !has_returned(id));
        let fleet = self.core.fleet.iter();
        let gone = fleet.filter(|(_, e)| has_left(e)).map(|(slot, _)| slot);
        let slots: Vec<ExecutorSlot> = gone.take(max - ids.len()).collect();
        let forget = |slot| {
            let executor = self.core.fleet.get_mut(slot);
            executor.is_recorded = false;
            tracing::info!(
                executor = %executor.entry.id, heard_ms = executor.identity.listed_at().map(|at| now.since(at).get()),
                "dispatch: executor has left, removing its record"
            );
            executor.entry.id.clone()
        };
        ids.extend(slots.into_iter().map(forget));
        ids
    }
}
