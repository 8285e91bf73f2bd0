use crate::order::aside_list::AsideList;
use crate::order::lazy_heap::LazyHeap;
use crate::order::ready_item::ReadyItem;
use crate::unit::{Priority, Resources};

/// Position of a lane among the lanes of its kind: weighted share as the bits of a non-negative float, last turn, team.
pub(super) type LaneKey = (u64, u64, u32);

/// Ready work of one team and one kind.
#[derive(Debug)]
pub(super) struct TeamLane {
    pub(super) urgent: LazyHeap<ReadyItem>,
    pub(super) regular: LazyHeap<ReadyItem>,
    /// Entries set aside: regular ones, and urgent ones.
    aside: [AsideList; 2],
    /// Waiting entries, wherever they wait: regular ones, and urgent ones.
    pub(super) waiting: [u64; 2],
    pub(super) in_use: Resources,
    /// Number of the selection that last took from this lane.
    pub(super) last_turn: u64,
    /// Set while the first entry exceeds what the team's quota leaves. The lane waits as a whole, so that smaller
    /// entries can't delay a large one forever.
    pub(super) over_quota: bool,
    pub(super) ready_key: Option<LaneKey>,
    pub(super) urgent_key: Option<LaneKey>,
}

impl TeamLane {
    pub(super) fn new() -> Self {
        Self {
            urgent: LazyHeap::new(),
            regular: LazyHeap::new(),
            aside: Default::default(),
            waiting: [0; 2],
            in_use: Resources::ZERO,
            last_turn: 0,
            over_quota: false,
            ready_key: None,
            urgent_key: None,
        }
    }

    pub(super) fn heap_mut(&mut self, priority: Priority) -> &mut LazyHeap<ReadyItem> {
        match priority.is_urgent() {
            true => &mut self.urgent,
            false => &mut self.regular,
        }
    }

    /// Returns the list of entries of that urgency that were set aside.
    pub(super) fn aside_mut(&mut self, priority: Priority) -> &mut AsideList {
        &mut self.aside[usize::from(priority.is_urgent())]
    }

    /// Returns the heap whose top goes first.
    pub(super) fn first_heap_mut(&mut self) -> &mut LazyHeap<ReadyItem> {
        match self.urgent.is_empty() {
            true => &mut self.regular,
            false => &mut self.urgent,
        }
    }
}
