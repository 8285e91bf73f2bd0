use lagoon_core::unit::{Resources, Timestamp};
use smallvec::SmallVec;

use crate::dispatch::claims::Claims;
use crate::dispatch::precedence::Precedence;
use crate::fleet::{ExecutorSlot, FreeCapacity};
use crate::id::StepKey;

/// Executors for each gang that may make room for itself in one pass. Such a claim lasts about as long as a stop.
const EXECUTORS_A_CLAIM: usize = 8;
/// Fewest gangs that may make room for themselves in one pass.
const MIN_CLAIMS: usize = 6;
/// Gangs that may wait on free resources in one pass until other work there ends. These idle meanwhile, so only the next
/// few gangs do so.
const MAX_IDLE_CLAIMS: usize = 6;

/// Steps of single tasks that may look for executors to ask about in one pass, because each looks at the whole fleet.
const MAX_SEARCHES: u32 = 10;

/// One pass of placement over the open steps.
#[derive(Debug)]
pub(super) struct Pass {
    pub(super) now: Timestamp,
    pub(super) rooms: Vec<FreeCapacity>,
    claims_left: usize,
    idle_claims_left: usize,
    searches_left: u32,
    /// What gangs claimed in the last pass and have not started.
    before: Claims,
    claims: Claims,
    /// Which running work yields to the step that is being placed.
    precedence: Precedence,
    /// What becomes free soon on each executor for steps of a precedence.
    soon: SmallVec<[(Precedence, Vec<Resources>); 4]>,
}

impl Pass {
    /// Begins a pass with the rooms of the executors and what gangs claimed there in the last pass.
    pub(super) fn new(rooms: Vec<FreeCapacity>, before: Claims, now: Timestamp) -> Self {
        let claims = rooms.len() / EXECUTORS_A_CLAIM;
        Self {
            now,
            rooms,
            claims_left: claims.max(MIN_CLAIMS),
            idle_claims_left: MAX_IDLE_CLAIMS,
            searches_left: MAX_SEARCHES,
            before,
            claims: Claims::default(),
            precedence: Precedence::Nothing,
            soon: SmallVec::new(),
        }
    }

    /// Begins to place a step to which other work may yield.
    pub(super) fn begin_step(&mut self, precedence: Precedence) {
        self.precedence = precedence;
    }

    /// Returns which running work yields to the step that is being placed.
    pub(super) fn precedence(&self) -> Precedence {
        self.precedence
    }

    pub(super) fn room(&self, slot: ExecutorSlot) -> &FreeCapacity {
        &self.rooms[slot.index()]
    }

    pub(super) fn room_mut(&mut self, slot: ExecutorSlot) -> &mut FreeCapacity {
        &mut self.rooms[slot.index()]
    }

    /// Notes once what becomes free soon for steps of the present precedence. That does not change within a pass, because
    /// what is ordered to stop meanwhile is part of it already.
    pub(super) fn note_soon(&mut self, count: impl FnOnce(Precedence) -> Vec<Resources>) {
        let precedence = self.precedence;
        if !self.soon.iter().any(|(known, _)| *known == precedence) {
            self.soon.push((precedence, count(precedence)));
        }
    }

    /// Returns the room of an executor with what becomes free soon for the step that is being placed.
    pub(super) fn room_soon(&self, slot: ExecutorSlot) -> FreeCapacity {
        let mut room = *self.room(slot);
        let known = self
            .soon
            .iter()
            .find(|(known, _)| *known == self.precedence);
        if let Some((_, soon)) = known {
            room.free = room.free.saturating_add(soon[slot.index()]);
        }
        room
    }

    /// Takes room for a gang that waits for the rest of its room.
    pub(super) fn claim(&mut self, gang: StepKey, slot: ExecutorSlot, total: &Resources) {
        self.room_mut(slot).take(total);
        self.claims.add(gang, slot, total);
    }

    /// Returns what gangs claimed in this pass.
    pub(super) fn into_claims(self) -> Claims {
        self.claims
    }

    /// Tells whether a gang claimed room on an executor in the last pass.
    pub(super) fn had_claim(&self, gang: StepKey, slot: ExecutorSlot) -> bool {
        self.before.of_gang(gang).contains(&slot)
    }

    /// Tells whether a task would take room that a gang claimed in the last pass. More urgent work may, but goes
    /// elsewhere if it can, because a gang that loses one place waits with all of them.
    pub(super) fn meets_claim(&self, slot: ExecutorSlot, need: &Resources) -> bool {
        self.before.on(slot).is_some_and(|claimed| {
            let mut room = *self.room(slot);
            room.take(claimed);
            room.fits(need) == 0
        })
    }

    /// Tells whether a claim of this pass is left.
    pub(super) fn has_claim(&self) -> bool {
        self.claims_left > 0
    }

    /// Takes one of the searches of this pass; false if none is left.
    pub(super) fn take_search(&mut self) -> bool {
        let has_one = self.searches_left > 0;
        self.searches_left = self.searches_left.saturating_sub(1);
        has_one
    }

    /// Takes a claim for a gang that makes room for itself.
    pub(super) fn take_claim(&mut self) {
        self.claims_left = self.claims_left.saturating_sub(1);
    }

    /// Tells whether another gang may wait on free resources.
    pub(super) fn has_idle_claim(&self) -> bool {
        self.has_claim() && self.idle_claims_left > 0
    }

    /// Takes a claim for a gang that waits on free resources.
    pub(super) fn take_idle_claim(&mut self) {
        self.take_claim();
        self.idle_claims_left = self.idle_claims_left.saturating_sub(1);
    }
}
