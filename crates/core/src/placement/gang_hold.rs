//! Workers held for a gang job that waits in the first place.
//!
//! Small tasks would take every part of a worker as it frees, so that a large member never fits. A held worker takes no
//! new work, and what frees there accumulates for the gang job. The held share is bounded by the caller. Each call
//! examines a bounded number of workers and continues where the last one stopped, so that no call scans the fleet.

use smallvec::SmallVec;

use crate::id::WorkerId;
use crate::placement::held_worker::HeldWorker;
use crate::placement::{Fleet, WorkerSlot};
use crate::policy::Percent;
use crate::unit::Resources;
use crate::work::PlacementPolicy;

/// Workers examined in one call besides those that already fit a member.
const EXAMINED: usize = 64;
/// Part of the members that could share an empty worker which a held worker is expected to take. Waiting for a whole
/// worker takes as long as its longest task; the same capacity frees on several workers in a fraction of that time.
const PLANNED_PART: u64 = 8;
/// Members for which room is planned, for each member of the job. More held workers free the same capacity sooner, and
/// jobs that wait behind this one use what is left.
const PLANNED_TIMES: u64 = 8;
/// Largest share of the fleet that is held for more members than the job has.
const MORE_SHARE: Percent = Percent::new(25);

/// State of the hold; a fleet has at most one.
#[derive(Debug)]
pub(super) struct GangHold {
    members: u64,
    need: Resources,
    workers: Vec<HeldWorker>,
    capacity: Resources,
    /// Members that the held workers can take now.
    ready: u64,
    next: usize,
}

impl GangHold {
    /// Adds or subtracts what a held worker can take, before and after its state changes.
    pub(super) fn recount(&mut self, worker: &WorkerSlot, margin: Option<Percent>, add: bool) {
        let members = worker.members_now(&self.need, margin);
        self.ready = match add {
            true => self.ready + members,
            false => self.ready.saturating_sub(members),
        };
    }

    fn planned(&self) -> u64 {
        self.workers.iter().map(|held| held.planned).sum()
    }
}

impl Fleet {
    /// Holds workers until those held are expected to take all members, or until they have `share` of the fleet.
    /// A hold that exists is extended; its job must be the same.
    pub fn hold_for_gang(
        &mut self,
        members: u32,
        need: &Resources,
        policy: &PlacementPolicy,
        share: Percent,
    ) {
        let hold = self.hold.get_or_insert_with(|| GangHold {
            members: u64::from(members),
            need: *need,
            workers: Vec::new(),
            capacity: Resources::ZERO,
            ready: 0,
            next: 0,
        });
        let members = hold.members;
        let more = members.saturating_mul(PLANNED_TIMES);
        self.extend_hold(more, need, policy, share.min(MORE_SHARE));
        self.extend_hold(members, need, policy, share);
    }

    /// Holds workers until they are expected to take `wanted` members.
    fn extend_hold(
        &mut self,
        wanted: u64,
        need: &Resources,
        policy: &PlacementPolicy,
        share: Percent,
    ) {
        let planned = self.hold.as_ref().map_or(0, GangHold::planned);
        let mut missing = wanted.saturating_sub(planned);
        while missing > 0
            && let Some(slot) = self.find(need, policy)
            && let Some(planned) = self.hold_worker(slot, need, share)
        {
            missing = missing.saturating_sub(planned);
        }
        for _ in 0..EXAMINED.min(self.slots.len()) {
            if missing == 0 {
                return;
            }
            let Some(slot) = self.next_candidate(policy) else {
                continue;
            };
            if !self.within_share(slot, share) {
                // The next call starts with this worker again, so that all get their turn.
                self.hold
                    .iter_mut()
                    .for_each(|hold| hold.next = slot as usize);
                return;
            }
            let planned = self.hold_worker(slot, need, share);
            missing = missing.saturating_sub(planned.unwrap_or(0));
        }
    }

    fn within_share(&self, slot: u32, share: Percent) -> bool {
        let worker = self.slots[slot as usize].as_ref();
        worker.is_some_and(|worker| {
            let capacity = self.held_capacity().saturating_add(worker.capacity);
            capacity.dominant_share(&self.total_capacity) <= share.as_fraction()
        })
    }

    /// Drops workers on which nothing was freed since the last call, such as those full of services, and plans the
    /// others anew. `hold_for_gang` replaces them.
    pub fn replan_hold(&mut self) {
        let Some(hold) = &mut self.hold else {
            return;
        };
        let need = hold.need;
        let mut kept = Vec::new();
        for mut held in std::mem::take(&mut hold.workers) {
            let slot = held.slot;
            let worker = self.slots[slot as usize]
                .as_ref()
                .filter(|worker| worker.held);
            let Some(worker) = worker else {
                continue;
            };
            let free = worker.free(self.reclaim_margin);
            let grown = !free.fits_in(&held.free);
            let now = worker.members_now(&need, self.reclaim_margin);
            held.planned = match grown {
                true => planned(&need, worker, now),
                false => now,
            };
            held.free = free;
            match held.planned > 0 {
                true => kept.push(held),
                false => self.set_held(slot, false),
            }
        }
        let capacity = kept.iter().filter_map(|held| {
            let worker = self.slots[held.slot as usize].as_ref();
            worker.map(|worker| worker.capacity)
        });
        let capacity = capacity.fold(Resources::ZERO, Resources::saturating_add);
        if let Some(hold) = &mut self.hold {
            hold.workers = kept;
            hold.capacity = capacity;
        }
    }

    /// Opens the held workers for all work.
    pub fn end_hold(&mut self) {
        let held = self.hold.as_mut();
        let held = held.map(|hold| std::mem::take(&mut hold.workers));
        for held in held.into_iter().flatten() {
            self.set_held(held.slot, false);
        }
        self.hold = None;
    }

    /// Places the job that the hold is for, on held and other workers. The hold ends if the job was placed.
    pub fn place_held_gang(
        &mut self,
        members: u32,
        need: &Resources,
        policy: &PlacementPolicy,
    ) -> Option<SmallVec<[WorkerId; 8]>> {
        let workers = self.hold.as_ref().map(|hold| &hold.workers);
        let slots = workers
            .into_iter()
            .flatten()
            .map(|held| held.slot as usize)
            .filter(|slot| self.slots[*slot].as_ref().is_some_and(|worker| worker.held));
        let slots: Vec<u32> = slots.map(|slot| slot as u32).collect();
        for slot in &slots {
            self.set_held(*slot, false);
        }
        let placed = self.place_gang(members, need, policy);
        match placed {
            Some(_) => self.hold = None,
            None => slots.iter().for_each(|slot| self.set_held(*slot, true)),
        }
        placed
    }

    /// Tells whether the held workers alone can take all members now.
    pub fn hold_is_ready(&self) -> bool {
        let hold = self.hold.as_ref();
        hold.is_some_and(|hold| hold.ready >= hold.members)
    }

    /// Returns the capacity of the held workers.
    pub fn held_capacity(&self) -> Resources {
        self.hold
            .as_ref()
            .map_or(Resources::ZERO, |hold| hold.capacity)
    }

    /// Returns the next worker in turn, if it may be held.
    fn next_candidate(&mut self, policy: &PlacementPolicy) -> Option<u32> {
        let hold = self.hold.as_mut()?;
        let slot = hold.next % self.slots.len();
        hold.next = slot + 1;
        let worker = self.slots[slot].as_ref()?;
        let allowed = policy.racks.is_empty() || policy.racks.contains(&worker.rack);
        (allowed && worker.accepts_work(self.reclaim_margin)).then_some(slot as u32)
    }

    /// Holds a worker and returns how many members it is expected to take; none if it can't take any or if more than
    /// `share` of the fleet would be held.
    fn hold_worker(&mut self, slot: u32, need: &Resources, share: Percent) -> Option<u64> {
        let worker = self.slots[slot as usize].as_ref()?;
        let now = worker.members_now(need, self.reclaim_margin);
        let planned = planned(need, worker, now);
        let capacity = self.held_capacity().saturating_add(worker.capacity);
        if planned == 0 || !self.within_share(slot, share) {
            return None;
        }
        let free = worker.free(self.reclaim_margin);
        self.set_held(slot, true);
        let hold = self.hold.as_mut()?;
        hold.capacity = capacity;
        hold.workers.push(HeldWorker {
            slot,
            planned,
            free,
        });
        Some(planned)
    }
}

/// Returns how many members a worker is expected to take soon, given how many it can take now.
fn planned(need: &Resources, worker: &WorkerSlot, now: u64) -> u64 {
    times(need, &worker.capacity)
        .div_ceil(PLANNED_PART)
        .max(now)
}

/// Returns how many times `need` fits in `capacity`.
pub(super) fn times(need: &Resources, capacity: &Resources) -> u64 {
    let cpu = capacity.cpu.get().checked_div(need.cpu.get());
    let memory = capacity.memory.get().checked_div(need.memory.get());
    let accelerators = capacity
        .accelerators
        .get()
        .checked_div(need.accelerators.get());
    let limits = [cpu, memory, accelerators.map(u64::from)];
    limits.into_iter().flatten().min().unwrap_or(u64::MAX)
}
