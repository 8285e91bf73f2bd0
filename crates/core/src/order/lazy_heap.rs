use std::collections::BinaryHeap;

/// Heaps below this length are not rebuilt.
const MIN_REBUILD_LEN: usize = 64;

/// Binary heap with lazy deletion. It is rebuilt when half of the items are stale, so that a removal takes amortized
/// constant time and the size stays proportional to the live items.
#[derive(Debug)]
pub(super) struct LazyHeap<T> {
    heap: BinaryHeap<T>,
    stale: usize,
}

impl<T: Ord> LazyHeap<T> {
    pub(super) fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            stale: 0,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    pub(super) fn push(&mut self, item: T) {
        self.heap.push(item);
    }

    pub(super) fn peek(&self) -> Option<&T> {
        self.heap.peek()
    }

    /// Pops the top item, which the caller knows to be live.
    pub(super) fn pop_live(&mut self) -> Option<T> {
        self.heap.pop()
    }

    /// Pops the top item, which the caller knows to be stale.
    pub(super) fn pop_stale(&mut self) {
        self.heap.pop();
        self.stale = self.stale.saturating_sub(1);
    }

    /// Records that one item became stale.
    pub(super) fn note_stale(&mut self, is_live: impl FnMut(&T) -> bool) {
        self.stale += 1;
        if self.heap.len() > MIN_REBUILD_LEN && self.stale * 2 > self.heap.len() {
            self.heap.retain(is_live);
            self.stale = 0;
        }
    }
}
