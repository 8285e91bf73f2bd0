use std::cmp::Reverse;

use crate::order::QueueEntry;
use crate::unit::{Priority, Timestamp};

/// Item of a team's heap; the greatest item goes first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReadyItem {
    priority: Priority,
    deadline: Reverse<Timestamp>,
    enqueued: Reverse<Timestamp>,
    arrival: Reverse<u64>,
    pub(super) slot: u32,
    pub(super) generation: u64,
}

impl ReadyItem {
    pub(super) fn new(entry: &QueueEntry, arrival: u64, slot: u32, generation: u64) -> Self {
        let latest = Timestamp::from_millis(u64::MAX);
        Self {
            priority: entry.priority,
            deadline: Reverse(entry.deadline.unwrap_or(latest)),
            enqueued: Reverse(entry.enqueued),
            arrival: Reverse(arrival),
            slot,
            generation,
        }
    }
}
