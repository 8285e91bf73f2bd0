use lagoon_core::unit::Timestamp;

use crate::fleet::{ExecutorSlot, Room};

/// Gangs that may claim free resources in one pass. Claims idle resources, so only the next few gangs make them.
const MAX_CLAIMS: u32 = 6;

/// One pass of placement over the open steps.
#[derive(Debug)]
pub(super) struct Pass {
    pub(super) now: Timestamp,
    pub(super) rooms: Vec<Room>,
    claims_left: u32,
}

impl Pass {
    pub(super) fn new(rooms: Vec<Room>, now: Timestamp) -> Self {
        Self {
            now,
            rooms,
            claims_left: MAX_CLAIMS,
        }
    }

    pub(super) fn room(&self, slot: ExecutorSlot) -> &Room {
        &self.rooms[slot.index()]
    }

    pub(super) fn room_mut(&mut self, slot: ExecutorSlot) -> &mut Room {
        &mut self.rooms[slot.index()]
    }

    /// Tells whether a claim of this pass is left.
    pub(super) fn has_claim(&self) -> bool {
        self.claims_left > 0
    }

    /// Takes one of the claims of this pass; false if none is left.
    pub(super) fn take_claim(&mut self) -> bool {
        let has_one = self.claims_left > 0;
        self.claims_left = self.claims_left.saturating_sub(1);
        has_one
    }
}
