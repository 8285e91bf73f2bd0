//! All-or-nothing placement of the tasks of a gang job.

use smallvec::SmallVec;

use crate::id::WorkerId;
use crate::placement::Fleet;
use crate::placement::gang_hold::fit_count;
use crate::unit::Resources;
use crate::work::{PlacementPolicy, Spread};

impl Fleet {
    /// Allocates `need` for each of `task_count` tasks. Returns `None` and allocates nothing if not all of them fit
    /// now. Tasks may share a worker.
    ///
    /// Takes logarithmic time for each task. With spread over racks, the cost of a task is also proportional to the
    /// number of workers in its rack.
    pub fn place_gang(
        &mut self,
        task_count: u32,
        need: &Resources,
        policy: &PlacementPolicy,
    ) -> Option<SmallVec<[WorkerId; 8]>> {
        let total = need.checked_mul(task_count)?;
        let unallocated = self.total_capacity().saturating_sub(self.in_use());
        if !total.fits_in(&unallocated) && !self.reclaims() {
            return None;
        }
        let spread = policy.spread == Spread::Racks && self.racks.len() > 1;
        let mut placed: SmallVec<[WorkerId; 8]> = SmallVec::new();
        let mut skipped = Vec::new();
        while placed.len() < task_count as usize {
            let found = self.find(need, policy);
            match found.and_then(|slot| Some((slot, self.allocate_slot(slot, need)?))) {
                Some((slot, id)) => {
                    placed.push(id);
                    if spread {
                        self.skip_rack_of(slot, &mut skipped);
                    }
                }
                None if skipped.is_empty() => break,
                None => self.reset_skipped(&mut skipped),
            }
        }
        self.reset_skipped(&mut skipped);
        if placed.len() == task_count as usize {
            return Some(placed);
        }
        for id in &placed {
            self.undo_allocation(id, need);
        }
        None
    }

    /// Returns true if the known workers could hold all tasks if they were empty and open.
    pub fn can_ever_fit(
        &self,
        task_count: u32,
        need: &Resources,
        policy: &PlacementPolicy,
    ) -> bool {
        let required = u64::from(task_count);
        let mut fitting = 0_u64;
        if policy.racks.is_empty() {
            for (capacity, count) in &self.capacity_counts {
                fitting = fitting.saturating_add(fit_count(need, capacity).saturating_mul(*count));
            }
            return fitting >= required;
        }
        let racks = policy.racks.iter().filter_map(|rack| self.racks.get(rack));
        for slot in racks.flatten() {
            if let Some(worker) = &self.slots[*slot as usize] {
                fitting = fitting.saturating_add(fit_count(need, &worker.capacity));
            }
        }
        fitting >= required
    }

    /// Excludes the workers in the rack of `slot`, so that the next task goes to another rack.
    fn skip_rack_of(&mut self, slot: u32, skipped: &mut Vec<u32>) {
        let rack = self.slots[slot as usize]
            .as_ref()
            .map(|worker| &worker.rack);
        let slots = rack.and_then(|rack| self.racks.get(rack));
        let slots = slots.cloned().unwrap_or_default();
        for slot in &slots {
            self.set_skipped(*slot, true);
        }
        skipped.extend(slots);
    }

    fn reset_skipped(&mut self, skipped: &mut Vec<u32>) {
        for slot in skipped.drain(..) {
            self.set_skipped(slot, false);
        }
    }
}
