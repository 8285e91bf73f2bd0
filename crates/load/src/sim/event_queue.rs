use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use lagoon_core::unit::Timestamp;

use crate::sim::event::Event;

/// Events ordered by time. Events at the same time are ordered by insertion.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Reverse<Entry>>,
    next_sequence: u64,
}

#[derive(Debug)]
struct Entry {
    at: Timestamp,
    sequence: u64,
    event: Event,
}

impl EventQueue {
    pub(crate) fn add(&mut self, at: Timestamp, event: Event) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(Reverse(Entry {
            at,
            sequence,
            event,
        }));
    }

    /// Removes and returns the next event, unless it is after `end`.
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
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
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
