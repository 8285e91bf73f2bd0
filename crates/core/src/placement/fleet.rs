use std::collections::HashMap;

use crate::id::{RackId, WorkerId};
use crate::placement::dimension::Dimension;
use crate::placement::free_index::FreeIndex;
use crate::placement::gang_hold::GangHold;
use crate::placement::{CapacityExceeded, ClosedReason, WorkerSlot};
use crate::policy::Percent;
use crate::unit::Resources;
use crate::work::PlacementPolicy;

/// The workers of a shard, indexed by free resources.
#[derive(Debug, Default)]
pub struct Fleet {
    pub(super) slots: Vec<Option<WorkerSlot>>,
    vacant_slots: Vec<u32>,
    by_id: HashMap<WorkerId, u32>,
    pub(super) racks: HashMap<RackId, Vec<u32>>,
    pub(super) capacity_counts: HashMap<Resources, u64>,
    pub(super) index: FreeIndex,
    pub(super) total_capacity: Resources,
    in_use: Resources,
    pub(super) reclaim_margin: Option<Percent>,
    pub(super) hold: Option<GangHold>,
}

impl Fleet {
    /// Creates a fleet without workers that does not reclaim unused processors.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a fleet without workers that reclaims unused processors: new tasks may use what the tasks covered by
    /// usage reports declared and don't use, except for a `margin` of the declared amount.
    pub fn with_reclaim(margin: Percent) -> Self {
        Self {
            reclaim_margin: Some(margin),
            ..Self::default()
        }
    }

    /// Adds an open worker, or updates the rack and capacity of a known one, which keeps its allocations, observed
    /// usage and closed reasons.
    pub fn upsert_worker(&mut self, id: WorkerId, rack: RackId, capacity: Resources) {
        let known = self.by_id.get(&id).copied();
        let slot = match known {
            Some(slot) => {
                self.detach(slot);
                slot
            }
            None => self.vacant_slots.pop().unwrap_or_else(|| {
                self.slots.push(None);
                (self.slots.len() - 1) as u32
            }),
        };
        let entry = &mut self.slots[slot as usize];
        match entry {
            Some(worker) => {
                worker.rack = rack;
                worker.capacity = capacity;
            }
            None => {
                *entry = Some(WorkerSlot::new(id.clone(), rack, capacity));
                self.by_id.insert(id, slot);
            }
        }
        self.attach(slot);
    }

    /// Removes a worker with its allocations. Returns true if it was known.
    pub fn remove_worker(&mut self, id: &WorkerId) -> bool {
        let Some(slot) = self.by_id.remove(id) else {
            return false;
        };
        self.detach(slot);
        if let Some(worker) = self.slots[slot as usize].take() {
            self.in_use = self.in_use.saturating_sub(worker.allocated);
        }
        self.vacant_slots.push(slot);
        true
    }

    /// Adds a reason why the worker receives no new work. Returns true if the worker is known.
    pub fn close(&mut self, id: &WorkerId, reason: ClosedReason) -> bool {
        self.update_worker(id, |worker| worker.closed.insert(reason))
    }

    /// Removes a reason why the worker receives no new work. Returns true if the worker is known.
    pub fn open(&mut self, id: &WorkerId, reason: ClosedReason) -> bool {
        self.update_worker(id, |worker| worker.closed.remove(reason))
    }

    /// Allocates resources for a task that already runs or has a reservation, also on a closed worker.
    ///
    /// # Errors
    ///
    /// Returns an error and changes nothing if the worker is unknown or `need` exceeds its unreserved capacity.
    pub fn allocate(&mut self, id: &WorkerId, need: Resources) -> Result<(), CapacityExceeded> {
        let margin = self.reclaim_margin;
        let worker = self.get(id);
        let unreserved = worker.and_then(|worker| worker.unreserved(margin));
        let fits = unreserved.is_some_and(|unreserved| need.fits_in(&unreserved));
        let allocated = worker.and_then(|worker| worker.allocated.checked_add(need));
        match allocated {
            Some(allocated) if fits => {
                self.update_worker(id, |worker| worker.allocated = allocated);
                self.in_use = self.in_use.saturating_add(need);
                Ok(())
            }
            _ => Err(CapacityExceeded {
                worker: id.clone(),
                need,
                unreserved: unreserved.unwrap_or_default(),
            }),
        }
    }

    /// Releases allocated resources. Returns false and changes nothing if the worker is unknown or has less allocated.
    pub fn release(&mut self, id: &WorkerId, need: Resources) -> bool {
        let Some(worker) = self.get(id) else {
            return false;
        };
        let Some(allocated) = worker.allocated.checked_sub(need) else {
            return false;
        };
        self.update_worker(id, |worker| {
            worker.allocated = allocated;
            worker.covered = worker.covered.saturating_sub(need);
        });
        self.in_use = self.in_use.saturating_sub(need);
        true
    }

    /// Allocates `need` on the best-fitting worker. Returns `None` if no open worker fits now.
    pub fn place(&mut self, need: &Resources, policy: &PlacementPolicy) -> Option<WorkerId> {
        let slot = self.find(need, policy)?;
        self.allocate_slot(slot, need)
    }

    /// Returns the capacity of all known workers.
    pub fn total_capacity(&self) -> Resources {
        self.total_capacity
    }

    /// Returns the resources allocated on all known workers.
    pub fn in_use(&self) -> Resources {
        self.in_use
    }

    /// Returns the number of known workers.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns true if no worker is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns the state of a worker.
    pub fn get(&self, id: &WorkerId) -> Option<&WorkerSlot> {
        let slot = *self.by_id.get(id)?;
        self.slots[slot as usize].as_ref()
    }

    /// Returns the resources that are free for new work on a worker, whether it is open or closed.
    pub fn free(&self, id: &WorkerId) -> Option<Resources> {
        self.get(id).map(|worker| worker.free(self.reclaim_margin))
    }

    /// Iterates over the known workers in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &WorkerSlot> {
        self.slots.iter().flatten()
    }

    pub(super) fn find(&self, need: &Resources, policy: &PlacementPolicy) -> Option<u32> {
        let dimension = Dimension::dominant(need, &self.total_capacity);
        if policy.racks.is_empty() {
            return self.index.find(need, dimension);
        }
        let racks = policy.racks.iter().filter_map(|rack| self.racks.get(rack));
        let fits = |slot: &u32| {
            let worker = self.slots[*slot as usize].as_ref()?;
            let free = worker.free(self.reclaim_margin);
            let open = worker.accepts_work(self.reclaim_margin) && need.fits_in(&free);
            let free_in_dimension = match dimension {
                Dimension::Cpu => free.cpu.get(),
                Dimension::Memory => free.memory.get(),
            };
            open.then_some((free.accelerators, free_in_dimension, *slot))
        };
        let best = racks.flatten().filter_map(fits).min();
        best.map(|(_, _, slot)| slot)
    }

    pub(super) fn allocate_slot(&mut self, slot: u32, need: &Resources) -> Option<WorkerId> {
        let id = self.slots[slot as usize].as_ref()?.id.clone();
        self.allocate(&id, *need).ok()?;
        Some(id)
    }

    /// Reverts an allocation of the same placement attempt, which no usage report can cover yet.
    pub(super) fn undo_allocation(&mut self, id: &WorkerId, need: &Resources) {
        self.update_worker(id, |worker| {
            worker.allocated = worker.allocated.saturating_sub(*need);
        });
        self.in_use = self.in_use.saturating_sub(*need);
    }

    pub(super) fn reclaims(&self) -> bool {
        self.reclaim_margin.is_some()
    }

    pub(super) fn update_worker(
        &mut self,
        id: &WorkerId,
        update: impl FnOnce(&mut WorkerSlot),
    ) -> bool {
        let Some(slot) = self.by_id.get(id).copied() else {
            return false;
        };
        self.remove_from_index(slot);
        if let Some(worker) = &mut self.slots[slot as usize] {
            update(worker);
        }
        self.add_to_index(slot);
        true
    }

    fn attach(&mut self, slot: u32) {
        if let Some(worker) = &self.slots[slot as usize] {
            self.total_capacity = self.total_capacity.saturating_add(worker.capacity);
            *self.capacity_counts.entry(worker.capacity).or_default() += 1;
            self.racks
                .entry(worker.rack.clone())
                .or_default()
                .push(slot);
        }
        self.add_to_index(slot);
    }

    fn detach(&mut self, slot: u32) {
        self.remove_from_index(slot);
        let Some(worker) = &self.slots[slot as usize] else {
            return;
        };
        self.total_capacity = self.total_capacity.saturating_sub(worker.capacity);
        if let Some(count) = self.capacity_counts.get_mut(&worker.capacity) {
            *count -= 1;
            if *count == 0 {
                self.capacity_counts.remove(&worker.capacity);
            }
        }
        if let Some(slots) = self.racks.get_mut(&worker.rack) {
            slots.retain(|other| *other != slot);
            if slots.is_empty() {
                self.racks.remove(&worker.rack);
            }
        }
    }
}
