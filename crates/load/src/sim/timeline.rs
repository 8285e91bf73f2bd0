use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use lagoon_core::unit::Timestamp;

use crate::sim::event::Event;

/// Events in order of their time; those of one time in order of their insertion.
#[derive(Debug, Default)]
pub(crate) struct Timeline {
    heap: BinaryHeap<Reverse<Entry>>,
    inserted: u64,
}

#[derive(Debug)]
struct Entry {
    at: Timestamp,
    number: u64,
    event: Event,
}

impl Timeline {
    pub(crate) fn add(&mut self, at: Timestamp, event: Event) {
        let number = self.inserted;
        self.inserted += 1;
        self.heap.push(Reverse(Entry { at, number, event }));
    }

    /// Takes the next event if it is not after `end`.
    pub(crate) fn next(&mut self, end: Timestamp) -> Option<(Timestamp, Event)> {
        let first = self.heap.peek()?;
        if first.0.at > end {
            return None;
        }
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.at, entry.event))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Entry {}
