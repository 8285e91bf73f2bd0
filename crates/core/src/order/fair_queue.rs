use std::cmp::Reverse;
use std::collections::HashMap;

use crate::id::{TeamId, WorkId};
use crate::order::QueueEntry;
use crate::order::deadline_item::DeadlineItem;
use crate::order::kind_queue::KindQueue;
use crate::order::lazy_heap::LazyHeap;
use crate::order::queue_slot::{Place, QueueSlot};
use crate::order::ready_item::ReadyItem;
use crate::order::selection::Selection;
use crate::order::team_state::TeamState;
use crate::policy::Policy;
use crate::unit::{Resources, Timestamp};
use crate::work::WorkKind;

/// Waiting work in order of weighted fair share.
#[derive(Debug)]
pub struct FairQueue {
    pub(super) policy: Policy,
    pub(super) total_capacity: Resources,
    pub(super) kinds: [KindQueue; 3],
    pub(super) teams: Vec<TeamState>,
    pub(super) team_numbers: HashMap<TeamId, u32>,
    pub(super) slots: Vec<Option<QueueSlot>>,
    vacant: Vec<u32>,
    pub(super) by_work: HashMap<WorkId, u32>,
    deadlines: LazyHeap<DeadlineItem>,
    stamps: u64,
    turns: u64,
    pub(super) urgent_run: u32,
}

impl FairQueue {
    /// Starts empty, with the weights, quotas and shares of `policy`. Capacity is unknown until `set_totals`.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            total_capacity: Resources::ZERO,
            kinds: Default::default(),
            teams: Vec::new(),
            team_numbers: HashMap::new(),
            slots: Vec::new(),
            vacant: Vec::new(),
            by_work: HashMap::new(),
            deadlines: LazyHeap::new(),
            stamps: 0,
            turns: 0,
            urgent_run: 0,
        }
    }

    /// Adds an entry; returns false and changes nothing if the work already waits.
    pub fn push(&mut self, entry: QueueEntry) -> bool {
        let added = self.insert(entry);
        if let Some(slot) = added {
            self.make_ready(slot);
        }
        added.is_some()
    }

    /// Removes an entry, wherever it waits.
    pub fn remove(&mut self, work: &WorkId) -> Option<QueueEntry> {
        let slot = *self.by_work.get(work)?;
        self.leave_place(slot);
        self.take(slot, true)
    }

    /// Takes the entry that goes next. Work past its start deadline is left for `expired`.
    ///
    /// The caller reports what becomes of the entry with `charge` or `set_aside` before the next call.
    pub fn next(&mut self, now: Timestamp) -> Option<QueueEntry> {
        loop {
            let selection = self.select()?;
            let kind = self.kind(selection.kind);
            let lanes = match selection.urgent {
                true => &kind.urgent,
                false => &kind.ready,
            };
            let team = lanes.first()?.2;
            let taken = self.take_first(selection, team, now);
            self.refresh_lane(selection.kind, team);
            if taken.is_some() {
                return taken;
            }
        }
    }

    /// Removes all work whose start deadline has passed and returns its ids, earliest deadline first.
    pub fn take_expired(&mut self, now: Timestamp) -> Vec<WorkId> {
        let mut expired = Vec::new();
        while let Some(item) = self.deadlines.peek() {
            if item.deadline.0 >= now {
                break;
            }
            let slot = item.slot;
            if !is_waiting(&self.slots, item) {
                self.deadlines.pop_stale();
                continue;
            }
            self.deadlines.pop_live();
            self.leave_place(slot);
            expired.extend(self.take(slot, false).map(|entry| entry.work));
        }
        expired
    }

    /// Takes the first entry of a lane. Returns none if the lane changed in another way, so that the selection must be
    /// repeated.
    fn take_first(
        &mut self,
        selection: Selection,
        team: u32,
        now: Timestamp,
    ) -> Option<QueueEntry> {
        let state = &mut self.teams[team as usize];
        let heap = state.lane_mut(selection.kind).first_heap_mut();
        let (slot, stamp) = heap.peek().map(|item| (item.slot, item.stamp))?;
        let waiting = self.slots[slot as usize].as_mut();
        let Some(waiting) = waiting.filter(|waiting| waiting.stamp == stamp) else {
            heap.pop_stale();
            return None;
        };
        if waiting.entry.is_expired(now) {
            waiting.place = Place::Expired;
            heap.pop_live();
            return None;
        }
        if !state.may_start(&waiting.entry.need) {
            state.lane_mut(selection.kind).over_quota = true;
            return None;
        }
        heap_pop(state, selection.kind);
        self.turns += 1;
        state.lane_mut(selection.kind).last_turn = self.turns;
        self.kinds[selection.kind as usize].last_turn = self.turns;
        self.urgent_run = match selection.urgent {
            true => self.urgent_run + 1,
            false => 0,
        };
        self.take(slot, true)
    }

    pub(super) fn insert(&mut self, entry: QueueEntry) -> Option<u32> {
        if self.by_work.contains_key(&entry.work) {
            return None;
        }
        let team = self.team_number(&entry.team);
        let arrival = self.next_stamp();
        let slot = self.vacant.pop().unwrap_or_else(|| {
            self.slots.push(None);
            (self.slots.len() - 1) as u32
        });
        let kind = &mut self.kinds[entry.kind as usize];
        kind.len += 1;
        let urgent = usize::from(entry.priority.is_urgent());
        let waiting = &mut self.teams[team as usize].lane_mut(entry.kind).waiting[urgent];
        kind.waiting_teams[urgent] += u64::from(*waiting == 0);
        *waiting += 1;
        kind.bytes = kind.bytes.saturating_add(entry.bytes);
        if let Some(deadline) = entry.deadline {
            let deadline = Reverse(deadline);
            self.deadlines.push(DeadlineItem {
                deadline,
                slot,
                arrival,
            });
        }
        self.by_work.insert(entry.work.clone(), slot);
        self.slots[slot as usize] = Some(QueueSlot {
            entry,
            team,
            arrival,
            stamp: arrival,
            place: Place::Held,
        });
        Some(slot)
    }

    /// Puts an entry that is in no heap or list into the heap of its team.
    pub(super) fn make_ready(&mut self, slot: u32) {
        let stamp = self.next_stamp();
        let Some(waiting) = &mut self.slots[slot as usize] else {
            return;
        };
        waiting.place = Place::Ready;
        waiting.stamp = stamp;
        let (kind, team) = (waiting.entry.kind, waiting.team);
        let item = ReadyItem::new(&waiting.entry, waiting.arrival, slot, stamp);
        let lane = self.teams[team as usize].lane_mut(kind);
        lane.heap_mut(waiting.entry.priority).push(item);
        self.refresh_lane(kind, team);
    }

    /// Makes the item of an entry in a heap or list stale.
    pub(super) fn leave_place(&mut self, slot: u32) {
        let stamp = self.next_stamp();
        let Some(waiting) = &mut self.slots[slot as usize] else {
            return;
        };
        waiting.stamp = stamp;
        let (kind, team, place) = (waiting.entry.kind, waiting.team, waiting.place);
        let (priority, enqueued) = (waiting.entry.priority, waiting.entry.enqueued);
        let slots = &self.slots;
        let is_live = |slot: u32, stamp: u64| {
            let waiting = slots[slot as usize].as_ref();
            waiting.is_some_and(|waiting| waiting.stamp == stamp)
        };
        match place {
            Place::Ready => {
                let lane = self.teams[team as usize].lane_mut(kind);
                let heap = lane.heap_mut(priority);
                heap.note_stale(|item| is_live(item.slot, item.stamp));
                lane.over_quota = false;
                self.refresh_lane(kind, team);
            }
            Place::Aside => {
                let queue = &mut self.kinds[kind as usize];
                queue.gangs_aside.remove(&(enqueued, slot));
                let lane = self.teams[team as usize].lane_mut(kind);
                lane.aside_mut(priority).note_stale(is_live);
            }
            Place::Held | Place::Expired => {}
        }
    }

    /// Removes an entry that is in no heap or list. `deadline_stale` tells that its deadline item is still in its heap.
    fn take(&mut self, slot: u32, deadline_stale: bool) -> Option<QueueEntry> {
        let QueueSlot { entry, team, .. } = self.slots[slot as usize].take()?;
        self.vacant.push(slot);
        self.by_work.remove(&entry.work);
        let kind = &mut self.kinds[entry.kind as usize];
        kind.len -= 1;
        let urgent = usize::from(entry.priority.is_urgent());
        let waiting = &mut self.teams[team as usize].lane_mut(entry.kind).waiting[urgent];
        *waiting -= 1;
        kind.waiting_teams[urgent] -= u64::from(*waiting == 0);
        kind.bytes = kind.bytes.saturating_sub(entry.bytes);
        if entry.deadline.is_some() && deadline_stale {
            let slots = &self.slots;
            self.deadlines.note_stale(|item| is_waiting(slots, item));
        }
        Some(entry)
    }

    pub(super) fn next_stamp(&mut self) -> u64 {
        self.stamps += 1;
        self.stamps
    }
}

fn heap_pop(team: &mut TeamState, kind: WorkKind) {
    team.lane_mut(kind).first_heap_mut().pop_live();
}

fn is_waiting(slots: &[Option<QueueSlot>], item: &DeadlineItem) -> bool {
    let waiting = slots[item.slot as usize].as_ref();
    waiting.is_some_and(|waiting| waiting.arrival == item.arrival)
}
