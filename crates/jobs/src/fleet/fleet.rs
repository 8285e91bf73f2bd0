use std::collections::HashMap;

use lagoon_core::unit::Timestamp;

use crate::fleet::{Availability, Executor, ExecutorEntry, ExecutorSlot, FreeCapacity};
use crate::id::{ExecutorId, JobId, ServiceName};

/// Share of the ready executors, in percent, that may be suspect. With more suspects than that, these are used again.
const MAX_SUSPECT_PERCENT: usize = 25;

/// All executors known to an owner.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    executors: Vec<Executor>,
    by_id: HashMap<ExecutorId, ExecutorSlot>,
    by_service: HashMap<ServiceName, Vec<ExecutorSlot>>,
}

impl Fleet {
    /// Adds or updates an executor from its registry entry. Returns its slot and whether the executor is new.
    pub fn observe(&mut self, entry: ExecutorEntry) -> (ExecutorSlot, bool) {
        if let Some(&slot) = self.by_id.get(&entry.id) {
            let known = &self.executors[slot.index()].entry.service;
            if *known != entry.service {
                if let Some(of_service) = self.by_service.get_mut(known) {
                    of_service.retain(|other| *other != slot);
                }
                self.add_to_service(&entry.service, slot);
            }
            self.executors[slot.index()].update(entry);
            return (slot, false);
        }
        let slot = ExecutorSlot::new(self.executors.len() as u32);
        self.by_id.insert(entry.id.clone(), slot);
        self.add_to_service(&entry.service, slot);
        self.executors.push(Executor::new(entry));
        (slot, true)
    }

    fn add_to_service(&mut self, service: &ServiceName, slot: ExecutorSlot) {
        let of_service = self.by_service.entry(service.clone()).or_default();
        of_service.push(slot);
    }

    /// Marks an executor as no longer in the registry. Returns its slot, or `None` if it is not known.
    pub fn unlist(&mut self, id: &ExecutorId) -> Option<ExecutorSlot> {
        let slot = *self.by_id.get(id)?;
        self.executors[slot.index()].availability = Availability::Unlisted;
        Some(slot)
    }

    /// Returns the slot of an executor, or `None` if it is not known.
    pub fn slot(&self, id: &ExecutorId) -> Option<ExecutorSlot> {
        self.by_id.get(id).copied()
    }

    /// Returns the executor in a slot.
    pub fn get(&self, slot: ExecutorSlot) -> &Executor {
        &self.executors[slot.index()]
    }

    /// Returns a mutable reference to the executor in a slot.
    pub fn get_mut(&mut self, slot: ExecutorSlot) -> &mut Executor {
        &mut self.executors[slot.index()]
    }

    /// Returns all executors with their slots.
    pub fn iter(&self) -> impl Iterator<Item = (ExecutorSlot, &Executor)> {
        let slots = (0..).map(ExecutorSlot::new);
        slots.zip(&self.executors)
    }

    /// Records that a job was forgotten, so that its ends can be acknowledged without a record.
    pub fn forget_job(&mut self, job: JobId) {
        self.executors
            .iter_mut()
            .for_each(|e| e.ends.forget_job(job));
    }

    /// Returns the number of executors.
    pub fn len(&self) -> usize {
        self.executors.len()
    }

    /// Returns true if there are no executors.
    pub fn is_empty(&self) -> bool {
        self.executors.is_empty()
    }

    /// Returns the slots of the executors of a service.
    pub fn of_service(&self, service: &ServiceName) -> &[ExecutorSlot] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the free capacity of each executor, by slot.
    pub fn free_capacity(&self, now: Timestamp) -> Vec<FreeCapacity> {
        // Executors that have left keep their slots. They must count neither as suspect nor as ready.
        let ready = |e: &&Executor| e.availability == Availability::Ready;
        let (mut listed, mut suspects) = (0, 0);
        for executor in self.executors.iter().filter(ready) {
            listed += 1;
            suspects += usize::from(executor.health.is_suspect(now));
        }
        let too_many = suspects * 100 > listed * MAX_SUSPECT_PERCENT;
        let capacities = self
            .executors
            .iter()
            .map(|e| e.free_capacity(now, too_many));
        capacities.collect()
    }
}
