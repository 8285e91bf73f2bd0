use crate::order::deferred_list::DeferredList;
use crate::order::lazy_heap::LazyHeap;
use crate::order::ready_item::ReadyItem;
use crate::unit::{Priority, Resources};

/// Position of a team's queue within its kind: weighted share as the bits of a non-negative float, last turn, team
/// index.
pub(super) type TeamQueueKey = (u64, u64, u32);

/// Waiting work of one team and one kind.
#[derive(Debug)]
pub(super) struct TeamQueue {
    pub(super) urgent: LazyHeap<ReadyItem>,
    pub(super) regular: LazyHeap<ReadyItem>,
    /// Deferred regular entries and deferred urgent entries.
    deferred: [DeferredList; 2],
    /// Number of regular and of urgent entries in any state.
    pub(super) waiting: [u64; 2],
    pub(super) in_use: Resources,
    /// Number of the last selection that took an entry from this queue.
    pub(super) last_turn: u64,
    /// Set while the first entry exceeds the unused part of the team's quota. The whole queue waits then, because
    /// smaller entries could otherwise delay a large one forever.
    pub(super) over_quota: bool,
    pub(super) ready_key: Option<TeamQueueKey>,
    pub(super) urgent_key: Option<TeamQueueKey>,
}

impl TeamQueue {
    pub(super) fn new() -> Self {
        Self {
            urgent: LazyHeap::new(),
            regular: LazyHeap::new(),
            deferred: Default::default(),
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

    /// Returns the list of deferred entries of that urgency.
    pub(super) fn deferred_mut(&mut self, priority: Priority) -> &mut DeferredList {
        &mut self.deferred[usize::from(priority.is_urgent())]
    }

    /// Returns the heap whose top entry goes first.
    pub(super) fn first_heap_mut(&mut self) -> &mut LazyHeap<ReadyItem> {
        match self.urgent.is_empty() {
            true => &mut self.regular,
            false => &mut self.urgent,
        }
    }
}
