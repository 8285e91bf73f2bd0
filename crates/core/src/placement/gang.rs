//! Placement of several equal tasks at once.

use smallvec::SmallVec;

use crate::id::WorkerId;
use crate::placement::Fleet;
use crate::placement::gang_hold::times;
use crate::unit::Resources;
use crate::work::{PlacementPolicy, Spread};

impl Fleet {
    /// Claims `need` for each of `members` tasks, or nothing if not all fit now. Members may share a worker.
    ///
    /// Takes logarithmic time for each member. With spread over racks, the cost of a member is also proportional to the
    /// number of workers in its rack.
    pub fn place_gang(
        &mut self,
        members: u32,
        need: &Resources,
        policy: &PlacementPolicy,
    ) -> Option<SmallVec<[WorkerId; 8]>> {
        let whole = need.checked_mul(members)?;
        let unclaimed = self.total_capacity().saturating_sub(self.in_use());
        if !whole.fits_in(&unclaimed) && !self.reclaims() {
            return None;
        }
        let spread = policy.spread == Spread::Racks && self.racks.len() > 1;
        let mut placed: SmallVec<[WorkerId; 8]> = SmallVec::new();
        let mut skipped = Vec::new();
        while placed.len() < members as usize {
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
        if placed.len() == members as usize {
            return Some(placed);
        }
        for id in &placed {
            self.undo_allocation(id, need);
        }
        None
    }

    /// Tells whether the known workers could hold all members if they were empty and open.
    pub fn can_ever_fit(&self, members: u32, need: &Resources, policy: &PlacementPolicy) -> bool {
        let wanted = u64::from(members);
        let mut held = 0_u64;
        if policy.racks.is_empty() {
            for (capacity, count) in &self.shapes {
                held = held.saturating_add(times(need, capacity).saturating_mul(*count));
            }
            return held >= wanted;
        }
        let racks = policy.racks.iter().filter_map(|rack| self.racks.get(rack));
        for slot in racks.flatten() {
            if let Some(worker) = &self.slots[*slot as usize] {
                held = held.saturating_add(times(need, &worker.capacity));
            }
        }
        held >= wanted
    }

    /// Excludes the workers of the rack that holds `slot`, so that the next member goes to another rack.
    fn skip_rack_of(&mut self, slot: u32, skipped: &mut Vec<u32>) {
        let rack = self.slots[slot as usize]
            .as_ref()
            .map(|worker| &worker.rack);
        let members = rack.and_then(|rack| self.racks.get(rack));
        let members = members.cloned().unwrap_or_default();
        for member in &members {
            self.set_skipped(*member, true);
        }
        skipped.extend(members);
    }

    fn reset_skipped(&mut self, skipped: &mut Vec<u32>) {
        for slot in skipped.drain(..) {
            self.set_skipped(slot, false);
        }
    }
}
