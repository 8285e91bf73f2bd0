use lagoon_core::unit::{Resources, Timestamp};
use smallvec::SmallVec;

use crate::dispatch::gang_reservations::GangReservations;
use crate::dispatch::preemption::Preemption;
use crate::fleet::{ExecutorSlot, Room};
use crate::id::StepKey;

/// Executors for each gang that may make room for itself in one pass. Such a claim lasts about as long as a stop.
const EXECUTORS_PER_RESERVATION: usize = 8;
/// Fewest gangs that may make room for themselves in one pass.
const MIN_RESERVATIONS: usize = 6;
/// Gangs that may wait on free resources in one pass until other work there ends. These idle meanwhile, so only the next
/// few gangs do so.
const MAX_IDLE_RESERVATIONS: usize = 6;

/// Steps of single tasks that may look for executors to ask about in one pass, because each looks at the whole fleet.
const MAX_SEARCHES: u32 = 10;

/// One pass of placement over the open steps.
#[derive(Debug)]
pub(super) struct Pass {
    pub(super) now: Timestamp,
    pub(super) free_capacity: Vec<Room>,
    reservations_left: usize,
    idle_reservations_left: usize,
    searches_left: u32,
    /// What gangs claimed in the last pass and have not started.
    previous: GangReservations,
    reservations: GangReservations,
    /// Which running work yields to the step that is being placed.
    preemption: Preemption,
    /// What becomes free soon on each executor for steps of a precedence.
    reclaimable: SmallVec<[(Preemption, Vec<Resources>); 4]>,
}

impl Pass {
    /// Begins a pass with the rooms of the executors and what gangs claimed there in the last pass.
    pub(super) fn new(
        free_capacity: Vec<Room>,
        previous: GangReservations,
        now: Timestamp,
    ) -> Self {
        let reservations = free_capacity.len() / EXECUTORS_PER_RESERVATION;
        Self {
            now,
            free_capacity,
            reservations_left: reservations.max(MIN_RESERVATIONS),
            idle_reservations_left: MAX_IDLE_RESERVATIONS,
            searches_left: MAX_SEARCHES,
            previous,
            reservations: GangReservations::default(),
            preemption: Preemption::Never,
            reclaimable: SmallVec::new(),
        }
    }

    /// Begins to place a step to which other work may yield.
    pub(super) fn begin_step(&mut self, preemption: Preemption) {
        self.preemption = preemption;
    }

    /// Returns which running work yields to the step that is being placed.
    pub(super) fn preemption(&self) -> Preemption {
        self.preemption
    }

    pub(super) fn free_capacity(&self, slot: ExecutorSlot) -> &Room {
        &self.free_capacity[slot.index()]
    }

    pub(super) fn free_capacity_mut(&mut self, slot: ExecutorSlot) -> &mut Room {
        &mut self.free_capacity[slot.index()]
    }

    /// Notes once what becomes free soon for steps of the present precedence. That does not change within a pass, because
    /// what is ordered to stop meanwhile is part of it already.
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

    /// Returns the room of an executor with what becomes free soon for the step that is being placed.
    pub(super) fn reclaimable_capacity(&self, slot: ExecutorSlot) -> Room {
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

    /// Takes room for a gang that waits for the rest of its room.
    pub(super) fn reserve(&mut self, gang: StepKey, slot: ExecutorSlot, total: &Resources) {
        self.free_capacity_mut(slot).take(total);
        self.reservations.add(gang, slot, total);
    }

    /// Returns what gangs claimed in this pass.
    pub(super) fn into_claims(self) -> GangReservations {
        self.reservations
    }

    /// Tells whether a gang claimed room on an executor in the last pass.
    pub(super) fn had_reservation(&self, gang: StepKey, slot: ExecutorSlot) -> bool {
        self.previous.of_gang(gang).contains(&slot)
    }

    /// Tells whether a task would take room that a gang claimed in the last pass. More urgent work may, but goes
    /// elsewhere if it can, because a gang that loses one place waits with all of them.
    pub(super) fn conflicts_with_reservation(&self, slot: ExecutorSlot, need: &Resources) -> bool {
        self.previous.on(slot).is_some_and(|reserved| {
            let mut free_capacity = *self.free_capacity(slot);
            free_capacity.take(reserved);
            free_capacity.fits(need) == 0
        })
    }

    /// Tells whether a claim of this pass is left.
    pub(super) fn may_reserve(&self) -> bool {
        self.reservations_left > 0
    }

    /// Takes one of the searches of this pass; false if none is left.
    pub(super) fn take_search(&mut self) -> bool {
        let has_one = self.searches_left > 0;
        self.searches_left = self.searches_left.saturating_sub(1);
        has_one
    }

    /// Takes a claim for a gang that makes room for itself.
    pub(super) fn count_reservation(&mut self) {
        self.reservations_left = self.reservations_left.saturating_sub(1);
    }

    /// Tells whether another gang may wait on free resources.
    pub(super) fn may_reserve_idle(&self) -> bool {
        self.may_reserve() && self.idle_reservations_left > 0
    }

    /// Takes a claim for a gang that waits on free resources.
    pub(super) fn count_idle_reservation(&mut self) {
        self.count_reservation();
        self.idle_reservations_left = self.idle_reservations_left.saturating_sub(1);
    }
}
