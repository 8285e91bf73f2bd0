//! Workers held for the head gang, the gang job for which capacity is accumulated.
//!
//! Without a hold, small tasks would take every part of a worker as soon as it is freed, and a large gang task would
//! never fit. A held worker takes no new work, so its freed capacity accumulates for the gang job. The caller bounds
//! the held share of the fleet. Each call examines a bounded number of workers and continues where the last call
//! stopped, so that no call scans the whole fleet.

use smallvec::SmallVec;

use crate::id::WorkerId;
use crate::placement::held_worker::HeldWorker;
use crate::placement::{Fleet, WorkerSlot};
use crate::policy::Percent;
use crate::unit::Resources;
use crate::work::PlacementPolicy;

/// Largest number of workers examined in one call, besides those on which a task already fits.
const MAX_EXAMINED: usize = 64;
/// A held worker is planned to take this fraction (1/8) of the tasks that fit on it when it is empty. A whole worker is
/// freed only when its longest task ends; several workers free the same capacity in a fraction of that time.
const PLANNED_DIVISOR: u64 = 8;
/// Tasks for which capacity is planned, as a multiple of the job's tasks. More held workers free the same capacity
/// sooner, and the gang jobs that wait behind this one use the rest.
const PLANNED_FACTOR: u64 = 8;
/// Largest share of the fleet that is held for more tasks than the job has.
const SURPLUS_SHARE: Percent = Percent::new(25);

/// State of the hold; a fleet has at most one.
#[derive(Debug)]
pub(super) struct GangHold {
    task_count: u64,
    need: Resources,
    workers: Vec<HeldWorker>,
    capacity: Resources,
    /// Number of tasks that fit on the held workers now.
    ready_tasks: u64,
    /// Slot at which the next call starts to examine workers.
    cursor: usize,
}

impl GangHold {
    /// Subtracts the tasks that fit on a held worker before its state changes, or adds them after the change.
    pub(super) fn update_ready(&mut self, worker: &WorkerSlot, margin: Option<Percent>, add: bool) {
        let fitting = worker.fitting_tasks(&self.need, margin);
        self.ready_tasks = match add {
            true => self.ready_tasks + fitting,
            false => self.ready_tasks.saturating_sub(fitting),
        };
    }

    fn planned_tasks(&self) -> u64 {
        self.workers.iter().map(|held| held.planned_tasks).sum()
    }
}

impl Fleet {
    /// Holds workers until the held ones are planned to take all tasks, or until `share` of the fleet is held. Extends
    /// an existing hold, which must be for the same job.
    pub fn hold_for_gang(
        &mut self,
        task_count: u32,
        need: &Resources,
        policy: &PlacementPolicy,
        share: Percent,
    ) {
        let hold = self.hold.get_or_insert_with(|| GangHold {
            task_count: u64::from(task_count),
            need: *need,
            workers: Vec::new(),
            capacity: Resources::ZERO,
            ready_tasks: 0,
            cursor: 0,
        });
        let task_count = hold.task_count;
        let surplus = task_count.saturating_mul(PLANNED_FACTOR);
        self.extend_hold(surplus, need, policy, share.min(SURPLUS_SHARE));
        self.extend_hold(task_count, need, policy, share);
    }

    /// Holds workers until they are planned to take `wanted` tasks or `share` of the fleet is held.
    fn extend_hold(
        &mut self,
        wanted: u64,
        need: &Resources,
        policy: &PlacementPolicy,
        share: Percent,
    ) {
        let planned_tasks = self.hold.as_ref().map_or(0, GangHold::planned_tasks);
        let mut remaining = wanted.saturating_sub(planned_tasks);
        while remaining > 0
            && let Some(slot) = self.find(need, policy)
            && let Some(planned_tasks) = self.hold_worker(slot, need, share)
        {
            remaining = remaining.saturating_sub(planned_tasks);
        }
        for _ in 0..MAX_EXAMINED.min(self.slots.len()) {
            if remaining == 0 {
                return;
            }
            let Some(slot) = self.next_candidate(policy) else {
                continue;
            };
            if !self.within_share(slot, share) {
                // The next call starts with this worker again, so that every worker is considered in turn.
                self.hold
                    .iter_mut()
                    .for_each(|hold| hold.cursor = slot as usize);
                return;
            }
            let planned_tasks = self.hold_worker(slot, need, share);
            remaining = remaining.saturating_sub(planned_tasks.unwrap_or(0));
        }
    }

    fn within_share(&self, slot: u32, share: Percent) -> bool {
        let worker = self.slots[slot as usize].as_ref();
        worker.is_some_and(|worker| {
            let capacity = self.held_capacity().saturating_add(worker.capacity);
            capacity.dominant_share(&self.total_capacity) <= share.as_fraction()
        })
    }

    /// Plans the held workers again and drops those on which nothing was freed since the last call and no task fits,
    /// such as workers full of services. The next `hold_for_gang` replaces them.
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
            let now = worker.fitting_tasks(&need, self.reclaim_margin);
            held.planned_tasks = match grown {
                true => planned_tasks(&need, worker, now),
                false => now,
            };
            held.free = free;
            match held.planned_tasks > 0 {
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

    /// Ends the hold and opens its workers to all work.
    pub fn end_hold(&mut self) {
        let held = self.hold.as_mut();
        let held = held.map(|hold| std::mem::take(&mut hold.workers));
        for held in held.into_iter().flatten() {
            self.set_held(held.slot, false);
        }
        self.hold = None;
    }

    /// Places the job that the hold is for, on held and other workers. Ends the hold if the job was placed.
    pub fn place_held_gang(
        &mut self,
        task_count: u32,
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
        let placed = self.place_gang(task_count, need, policy);
        match placed {
            Some(_) => self.hold = None,
            None => slots.iter().for_each(|slot| self.set_held(*slot, true)),
        }
        placed
    }

    /// Returns true if the held workers alone can take all tasks of the job now.
    pub fn hold_is_ready(&self) -> bool {
        let hold = self.hold.as_ref();
        hold.is_some_and(|hold| hold.ready_tasks >= hold.task_count)
    }

    /// Returns the capacity of the held workers.
    pub fn held_capacity(&self) -> Resources {
        self.hold
            .as_ref()
            .map_or(Resources::ZERO, |hold| hold.capacity)
    }

    /// Advances to the next worker and returns its slot if it may be held.
    fn next_candidate(&mut self, policy: &PlacementPolicy) -> Option<u32> {
        let hold = self.hold.as_mut()?;
        let slot = hold.cursor % self.slots.len();
        hold.cursor = slot + 1;
        let worker = self.slots[slot].as_ref()?;
        let allowed = policy.racks.is_empty() || policy.racks.contains(&worker.rack);
        (allowed && worker.accepts_work(self.reclaim_margin)).then_some(slot as u32)
    }

    /// Holds a worker and returns how many tasks it is planned to take. Returns `None` if it can't take any, or if more
    /// than `share` of the fleet would be held.
    fn hold_worker(&mut self, slot: u32, need: &Resources, share: Percent) -> Option<u64> {
        let worker = self.slots[slot as usize].as_ref()?;
        let now = worker.fitting_tasks(need, self.reclaim_margin);
        let planned_tasks = planned_tasks(need, worker, now);
        let capacity = self.held_capacity().saturating_add(worker.capacity);
        if planned_tasks == 0 || !self.within_share(slot, share) {
            return None;
        }
        let free = worker.free(self.reclaim_margin);
        self.set_held(slot, true);
        let hold = self.hold.as_mut()?;
        hold.capacity = capacity;
        hold.workers.push(HeldWorker {
            slot,
            planned_tasks,
            free,
        });
        Some(planned_tasks)
    }
}

/// Returns how many tasks a worker is planned to take, given how many fit now.
fn planned_tasks(need: &Resources, worker: &WorkerSlot, now: u64) -> u64 {
    fit_count(need, &worker.capacity)
        .div_ceil(PLANNED_DIVISOR)
        .max(now)
}

/// Returns how many times `need` fits in `capacity`.
pub(super) fn fit_count(need: &Resources, capacity: &Resources) -> u64 {
    let cpu = capacity.cpu.get().checked_div(need.cpu.get());
    let memory = capacity.memory.get().checked_div(need.memory.get());
    let accelerators = capacity
        .accelerators
        .get()
        .checked_div(need.accelerators.get());
    let limits = [cpu, memory, accelerators.map(u64::from)];
    limits.into_iter().flatten().min().unwrap_or(u64::MAX)
}
