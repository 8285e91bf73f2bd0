use std::collections::VecDeque;

/// Entries set aside, in order. Entries that were removed stay as stale items until they make up half of the list.
#[derive(Debug, Default)]
pub(super) struct AsideList {
    items: VecDeque<(u32, u64)>,
    stale: usize,
    /// True while the team is in the list of teams that take turns.
    pub(super) listed: bool,
}

impl AsideList {
    /// Adds an entry by its slot and stamp.
    pub(super) fn push(&mut self, slot: u32, stamp: u64) {
        self.items.push_back((slot, stamp));
    }

    pub(super) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Takes the first item, which may be stale.
    pub(super) fn pop(&mut self) -> Option<(u32, u64)> {
        self.items.pop_front()
    }

    /// Notes that the popped item was stale.
    pub(super) fn popped_stale(&mut self) {
        self.stale = self.stale.saturating_sub(1);
    }

    /// Notes that one item became stale.
    pub(super) fn note_stale(&mut self, is_live: impl Fn(u32, u64) -> bool) {
        self.stale += 1;
        if self.stale * 2 > self.items.len() {
            self.items.retain(|(slot, stamp)| is_live(*slot, *stamp));
            self.stale = 0;
        }
    }
}
