//! Keeps the index and the hold up to date: a worker is removed before each change of its state and added again after
//! it.

use crate::placement::Fleet;

impl Fleet {
    pub(super) fn set_skipped(&mut self, slot: u32, skipped: bool) {
        self.remove_from_index(slot);
        if let Some(worker) = &mut self.slots[slot as usize] {
            worker.skipped = skipped;
        }
        self.add_to_index(slot);
    }

    pub(super) fn set_held(&mut self, slot: u32, held: bool) {
        self.remove_from_index(slot);
        if let Some(worker) = &mut self.slots[slot as usize] {
            worker.held = held;
        }
        self.add_to_index(slot);
    }

    /// Removes a worker from the index before its state changes.
    pub(super) fn remove_from_index(&mut self, slot: u32) {
        let Some(worker) = &self.slots[slot as usize] else {
            return;
        };
        if worker.accepts_work(self.reclaim_margin) {
            self.index.remove(slot, &worker.free(self.reclaim_margin));
        }
        if worker.held
            && let Some(hold) = &mut self.hold
        {
            hold.update_ready(worker, self.reclaim_margin, false);
        }
    }

    /// Adds a worker to the index again if it accepts work.
    pub(super) fn add_to_index(&mut self, slot: u32) {
        let Some(worker) = &self.slots[slot as usize] else {
            return;
        };
        if worker.accepts_work(self.reclaim_margin) {
            self.index.insert(slot, &worker.free(self.reclaim_margin));
        }
        if worker.held
            && let Some(hold) = &mut self.hold
        {
            hold.update_ready(worker, self.reclaim_margin, true);
        }
    }
}
