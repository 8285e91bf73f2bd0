use std::collections::HashMap;

use lagoon_core::unit::Timestamp;

use crate::fleet::{Availability, Executor, ExecutorEntry, ExecutorSlot, FreeCapacity};
use crate::id::{ExecutorId, JobId, ServiceName};

/// Share of the ready executors, in percent, that may be set aside as suspect; beyond it suspects are used again.
const MAX_SUSPECT_PERCENT: usize = 25;

/// All executors that an owner has heard of.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    executors: Vec<Executor>,
    by_id: HashMap<ExecutorId, ExecutorSlot>,
    by_service: HashMap<ServiceName, Vec<ExecutorSlot>>,
}

impl Fleet {
    /// Takes over an entry of the list of executors; returns its slot and whether the executor is new.
    pub fn observe(&mut self, entry: ExecutorEntry) -> (ExecutorSlot, bool) {
        if let Some(&slot) = self.by_id.get(&entry.id) {
            self.executors[slot.index()].update(entry);
            return (slot, false);
        }
        let slot = ExecutorSlot::new(self.executors.len() as u32);
        self.by_id.insert(entry.id.clone(), slot);
        let of_service = self.by_service.entry(entry.service.clone()).or_default();
        of_service.push(slot);
        self.executors.push(Executor::new(entry));
        (slot, true)
    }

    /// Notes that an executor is no longer listed.
    pub fn unlist(&mut self, id: &ExecutorId) -> Option<ExecutorSlot> {
        let slot = *self.by_id.get(id)?;
        self.executors[slot.index()].availability = Availability::Unlisted;
        Some(slot)
    }

    /// Returns the slot of an executor.
    pub fn slot(&self, id: &ExecutorId) -> Option<ExecutorSlot> {
        self.by_id.get(id).copied()
    }

    /// Returns an executor.
    pub fn get(&self, slot: ExecutorSlot) -> &Executor {
        &self.executors[slot.index()]
    }

    /// Returns an executor to change it.
    pub fn get_mut(&mut self, slot: ExecutorSlot) -> &mut Executor {
        &mut self.executors[slot.index()]
    }

    /// Returns every executor with its slot.
    pub fn iter(&self) -> impl Iterator<Item = (ExecutorSlot, &Executor)> {
        let slots = (0..).map(ExecutorSlot::new);
        slots.zip(&self.executors)
    }

    /// Notes that a job was forgotten; its ends need not be recorded any more.
    pub fn forget_job(&mut self, job: JobId) {
        self.executors
            .iter_mut()
            .for_each(|e| e.ends.forget_job(job));
    }

    /// Returns the number of executors.
    pub fn len(&self) -> usize {
        self.executors.len()
    }

    /// Tells whether there is no executor.
    pub fn is_empty(&self) -> bool {
        self.executors.is_empty()
    }

    /// Returns the executors of a service.
    pub fn of_service(&self, service: &ServiceName) -> &[ExecutorSlot] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns what each executor can still take, by slot.
    pub fn free_capacity(&self, now: Timestamp) -> Vec<FreeCapacity> {
        // Executors that have left stay in the list of slots and must not count as set aside, nor make up for those.
        let ready = |e: &&Executor| e.availability == Availability::Ready;
        let (mut listed, mut suspects) = (0, 0);
        for executor in self.executors.iter().filter(ready) {
            listed += 1;
            suspects += usize::from(executor.health.is_suspect(now));
        }
        let too_many = suspects * 100 > listed * MAX_SUSPECT_PERCENT;
        let free_capacity = self
            .executors
            .iter()
            .map(|e| e.free_capacity(now, too_many));
        free_capacity.collect()
    }
}
