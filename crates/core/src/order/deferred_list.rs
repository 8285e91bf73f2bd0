use std::collections::VecDeque;

/// Deferred entries in order. An entry that was removed stays as a stale item until half of the items are stale.
#[derive(Debug, Default)]
pub(super) struct DeferredList {
    items: VecDeque<(u32, u64)>,
    stale: usize,
    /// True while the team is in the list of teams with deferred entries.
    pub(super) listed: bool,
}

impl DeferredList {
    /// Adds an entry by its slot and generation.
    pub(super) fn push(&mut self, slot: u32, generation: u64) {
        self.items.push_back((slot, generation));
    }

    pub(super) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Removes and returns the first item, which may be stale.
    pub(super) fn pop(&mut self) -> Option<(u32, u64)> {
        self.items.pop_front()
    }

    /// Records that the popped item was stale.
    pub(super) fn popped_stale(&mut self) {
        self.stale = self.stale.saturating_sub(1);
    }

    /// Records that one item became stale.
    pub(super) fn note_stale(&mut self, is_live: impl Fn(u32, u64) -> bool) {
        self.stale += 1;
        if self.stale * 2 > self.items.len() {
            self.items
                .retain(|(slot, generation)| is_live(*slot, *generation));
            self.stale = 0;
        }
    }
}
