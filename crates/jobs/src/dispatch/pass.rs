use lagoon_core::unit::{Resources, Timestamp};
use smallvec::SmallVec;

use crate::dispatch::gang_reservations::GangReservations;
use crate::dispatch::preemption::Preemption;
use crate::fleet::{ExecutorSlot, FreeCapacity};
use crate::id::StepKey;

/// Number of executors for each gang that may preempt other work in one pass. Such a reservation lasts about as long as a
/// stop.
const EXECUTORS_PER_RESERVATION: usize = 8;
/// Number of gangs that may preempt other work in one pass of a small fleet.
const MIN_RESERVATIONS: usize = 6;
/// Number of gangs that may reserve free resources in one pass until other work on the executors ends. Such resources are
/// idle in the meantime, so only the next few gangs may do so.
const MAX_IDLE_RESERVATIONS: usize = 6;

/// Number of steps that may search for executors to request advice about in one pass, because each search scans the whole
/// fleet.
const MAX_SEARCHES: u32 = 10;

/// One pass of placement over the open steps.
#[derive(Debug)]
pub(super) struct Pass {
    pub(super) now: Timestamp,
    pub(super) free_capacity: Vec<FreeCapacity>,
    reservations_left: usize,
    idle_reservations_left: usize,
    searches_left: u32,
    /// Largest amount of each resource that is free on an executor at the beginning of the pass.
    most_free: Resources,
    /// What gangs reserved in the last pass without starting.
    previous: GangReservations,
    reservations: GangReservations,
    /// Which runs the step that is being placed may preempt.
    preemption: Preemption,
    /// Resources of each executor that become free by stops under way or by preemption.
    reclaimable: SmallVec<[(Preemption, Vec<Resources>); 4]>,
}

impl Pass {
    /// Begins a pass with the free capacity of the executors and what gangs reserved there in the last pass.
    pub(super) fn new(
        free_capacity: Vec<FreeCapacity>,
        previous: GangReservations,
        now: Timestamp,
    ) -> Self {
        let reservations = free_capacity.len() / EXECUTORS_PER_RESERVATION;
        let open = free_capacity.iter().filter(|c| c.open);
        let most_free = open.fold(Resources::ZERO, |most, c| most.max(c.free));
        Self {
            now,
            free_capacity,
            reservations_left: reservations.max(MIN_RESERVATIONS),
            idle_reservations_left: MAX_IDLE_RESERVATIONS,
            searches_left: MAX_SEARCHES,
            most_free,
            previous,
            reservations: GangReservations::default(),
            preemption: Preemption::Never,
            reclaimable: SmallVec::new(),
        }
    }

    /// Begins to place a step that may preempt other work.
    pub(super) fn begin_step(&mut self, preemption: Preemption) {
        self.preemption = preemption;
    }

    /// Returns which runs the step that is being placed may preempt.
    pub(super) fn preemption(&self) -> Preemption {
        self.preemption
    }

    pub(super) fn free_capacity(&self, slot: ExecutorSlot) -> &FreeCapacity {
        &self.free_capacity[slot.index()]
    }

    pub(super) fn free_capacity_mut(&mut self, slot: ExecutorSlot) -> &mut FreeCapacity {
        &mut self.free_capacity[slot.index()]
    }

    /// Computes the reclaimable resources for the current preemption once. They do not change within a pass, because they
    /// already include the runs that the pass preempts.
    pub(super) fn cache_reclaimable(&mut self, count: impl FnOnce(Preemption) -> Vec<Resources>) {
        let preemption = self.preemption;
        if !self
            .reclaimable
            .iter()
            .any(|(known, _)| *known == preemption)
        {
            self.reclaimable.push((preemption, count(preemption)));
        }
    }

    /// Returns the free capacity of an executor together with what the step that is being placed can reclaim.
    pub(super) fn capacity_after_preemption(&self, slot: ExecutorSlot) -> FreeCapacity {
        let mut free_capacity = *self.free_capacity(slot);
        let known = self
            .reclaimable
            .iter()
            .find(|(known, _)| *known == self.preemption);
        if let Some((_, reclaimable)) = known {
            free_capacity.free = free_capacity.free.saturating_add(reclaimable[slot.index()]);
        }
        free_capacity
    }

    /// Reserves capacity for a gang that can't start yet.
    pub(super) fn reserve(&mut self, gang: StepKey, slot: ExecutorSlot, total: &Resources) {
        self.free_capacity_mut(slot).take(total);
        self.reservations.add(gang, slot, total);
    }

    /// Returns what gangs reserved in this pass.
    pub(super) fn into_reservations(self) -> GangReservations {
        self.reservations
    }

    /// Returns true if a gang reserved capacity on an executor in the last pass.
    pub(super) fn had_reservation(&self, gang: StepKey, slot: ExecutorSlot) -> bool {
        self.previous.of_gang(gang).contains(&slot)
    }

    /// Returns true if a task would take capacity that a gang reserved in the last pass. More urgent work may take it, but
    /// prefers other executors, because a gang that loses one place can't use its others.
    pub(super) fn conflicts_with_reservation(&self, slot: ExecutorSlot, need: &Resources) -> bool {
        self.previous.on(slot).is_some_and(|reserved| {
            let mut free_capacity = *self.free_capacity(slot);
            free_capacity.take(reserved);
            free_capacity.fits(need) == 0
        })
    }

    /// Returns true if another gang may reserve capacity in this pass.
    pub(super) fn may_reserve(&self) -> bool {
        self.reservations_left > 0
    }

    /// Takes one of the searches of this pass, for a step whose tasks need `need`. Returns false if none is left, or if no executor
    /// has as much free, so that a search would find none.
    pub(super) fn take_search(&mut self, need: &Resources) -> bool {
        if !need.fits_in(&self.most_free) {
            return false;
        }
        let is_available = self.searches_left > 0;
        self.searches_left = self.searches_left.saturating_sub(1);
        is_available
    }

    /// Counts a gang that preempts other work.
    pub(super) fn count_reservation(&mut self) {
        self.reservations_left = self.reservations_left.saturating_sub(1);
    }

    /// Returns true if another gang may reserve resources that idle until other work ends.
    pub(super) fn may_reserve_idle(&self) -> bool {
        self.may_reserve() && self.idle_reservations_left > 0
    }

    /// Counts a gang that reserves resources that idle until other work ends.
    pub(super) fn count_idle_reservation(&mut self) {
        self.count_reservation();
        self.idle_reservations_left = self.idle_reservations_left.saturating_sub(1);
    }
}
