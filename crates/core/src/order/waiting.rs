//! Entries that wait outside the order: set aside for lack of capacity, or held by an operator.

use crate::id::WorkId;
use crate::order::queue_slot::Place;
use crate::order::{FairQueue, QueueEntry};
use crate::work::WorkKind;

impl FairQueue {
    /// Puts back an entry that `next` returned and that can't be placed now. It doesn't block others and is not
    /// selected again until `retry`. Returns false and changes nothing if the work already waits.
    pub fn set_aside(&mut self, entry: QueueEntry) -> bool {
        let kind = entry.kind;
        let Some(slot) = self.insert(entry) else {
            return false;
        };
        if let Some(waiting) = &mut self.slots[slot as usize] {
            waiting.place = Place::Aside;
            let item = (slot, waiting.stamp);
            self.kinds[kind as usize].aside.push_back(item);
        }
        true
    }

    /// Makes up to `limit` entries of a kind that were set aside ready again, in order; returns how many.
    ///
    /// The limit bounds the cost of one freed worker while many large entries wait.
    pub fn retry_kind(&mut self, kind: WorkKind, limit: usize) -> usize {
        let mut count = 0;
        while count < limit {
            let queue = &mut self.kinds[kind as usize];
            let Some((slot, stamp)) = queue.aside.pop_front() else {
                break;
            };
            let waiting = self.slots[slot as usize].as_ref();
            if waiting.is_some_and(|waiting| waiting.stamp == stamp) {
                self.make_ready(slot);
                count += 1;
            } else {
                queue.aside_stale = queue.aside_stale.saturating_sub(1);
            }
        }
        count
    }

    /// Makes up to `limit` entries of each kind that were set aside ready again; returns how many.
    pub fn retry(&mut self, limit: usize) -> usize {
        let kinds = WorkKind::ALL.iter();
        kinds.map(|kind| self.retry_kind(*kind, limit)).sum()
    }

    /// Makes an entry that was set aside ready again; returns whether it was set aside.
    pub fn retry_work(&mut self, work: &WorkId) -> bool {
        let Some(slot) = self.by_work.get(work).copied() else {
            return false;
        };
        let waiting = self.slots[slot as usize].as_ref();
        let aside = waiting.is_some_and(|waiting| waiting.place == Place::Aside);
        if aside {
            self.leave_place(slot);
            self.make_ready(slot);
        }
        aside
    }

    /// Keeps an entry from being selected until `release`; returns whether the work waits. Its deadline still counts.
    pub fn hold(&mut self, work: &WorkId) -> bool {
        let Some(slot) = self.by_work.get(work).copied() else {
            return false;
        };
        self.leave_place(slot);
        if let Some(waiting) = &mut self.slots[slot as usize] {
            waiting.place = Place::Held;
        }
        true
    }

    /// Makes a held entry ready, at its earlier position; returns whether it was held.
    pub fn release(&mut self, work: &WorkId) -> bool {
        let Some(slot) = self.by_work.get(work).copied() else {
            return false;
        };
        let waiting = self.slots[slot as usize].as_ref();
        let held = waiting.is_some_and(|waiting| waiting.place == Place::Held);
        if held {
            self.make_ready(slot);
        }
        held
    }
}
