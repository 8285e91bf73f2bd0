//! Workers enter and leave the index around each change of their state.

use crate::placement::Fleet;

impl Fleet {
    pub(super) fn set_skipped(&mut self, slot: u32, skipped: bool) {
        self.withdraw(slot);
        if let Some(worker) = &mut self.slots[slot as usize] {
            worker.skipped = skipped;
        }
        self.restore(slot);
    }

    pub(super) fn set_held(&mut self, slot: u32, held: bool) {
        self.withdraw(slot);
        if let Some(worker) = &mut self.slots[slot as usize] {
            worker.held = held;
        }
        self.restore(slot);
    }

    /// Takes a worker out of the index before its state changes.
    pub(super) fn withdraw(&mut self, slot: u32) {
        let Some(worker) = &self.slots[slot as usize] else {
            return;
        };
        if worker.accepts_work(self.reclaim_margin) {
            self.index.remove(slot, &worker.free(self.reclaim_margin));
        }
        if worker.held
            && let Some(hold) = &mut self.hold
        {
            hold.recount(worker, self.reclaim_margin, false);
        }
    }

    /// Puts a withdrawn worker back into the index.
    pub(super) fn restore(&mut self, slot: u32) {
        let Some(worker) = &self.slots[slot as usize] else {
            return;
        };
        if worker.accepts_work(self.reclaim_margin) {
            self.index.insert(slot, &worker.free(self.reclaim_margin));
        }
        if worker.held
            && let Some(hold) = &mut self.hold
        {
            hold.recount(worker, self.reclaim_margin, true);
        }
    }
}
