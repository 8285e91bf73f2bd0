use std::cmp::Reverse;
use std::collections::HashMap;

use crate::id::{TeamId, WorkId};
use crate::order::QueueEntry;
use crate::order::deadline_item::DeadlineItem;
use crate::order::kind_queue::KindQueue;
use crate::order::lazy_heap::LazyHeap;
use crate::order::queue_slot::{EntryState, QueueSlot};
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
    pub(super) team_indices: HashMap<TeamId, u32>,
    pub(super) slots: Vec<Option<QueueSlot>>,
    vacant_slots: Vec<u32>,
    pub(super) by_work: HashMap<WorkId, u32>,
    deadlines: LazyHeap<DeadlineItem>,
    last_generation: u64,
    turns: u64,
    pub(super) urgent_streak: u32,
}

impl FairQueue {
    /// Creates an empty queue with the weights, quotas and shares of `policy`. The capacity is zero until
    /// `set_total_capacity`.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            total_capacity: Resources::ZERO,
            kinds: Default::default(),
            teams: Vec::new(),
            team_indices: HashMap::new(),
            slots: Vec::new(),
            vacant_slots: Vec::new(),
            by_work: HashMap::new(),
            deadlines: LazyHeap::new(),
            last_generation: 0,
            turns: 0,
            urgent_streak: 0,
        }
    }

    /// Adds an entry. Returns false and changes nothing if the work already waits.
    pub fn push(&mut self, entry: QueueEntry) -> bool {
        let added = self.insert(entry);
        if let Some(slot) = added {
            self.make_ready(slot);
        }
        added.is_some()
    }

    /// Removes an entry in any state.
    pub fn remove(&mut self, work: &WorkId) -> Option<QueueEntry> {
        let slot = *self.by_work.get(work)?;
        self.invalidate_item(slot);
        self.take(slot, true)
    }

    /// Removes and returns the entry that goes next. Work past its start deadline is left for `take_expired`.
    ///
    /// The caller must report the result with `charge` or `defer` before the next call.
    pub fn next(&mut self, now: Timestamp) -> Option<QueueEntry> {
        loop {
            let selection = self.select()?;
            let kind = self.kind(selection.kind);
            let queues = match selection.urgent {
                true => &kind.urgent,
                false => &kind.ready,
            };
            let team = queues.first()?.2;
            let taken = self.take_first(selection, team, now);
            self.refresh_team_queue(selection.kind, team);
            if taken.is_some() {
                return taken;
            }
        }
    }

    /// Removes all work past its start deadline and returns its ids, earliest deadline first.
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
            self.invalidate_item(slot);
            expired.extend(self.take(slot, false).map(|entry| entry.work));
        }
        expired
    }

    /// Removes and returns the first entry of a team's queue. Returns `None` if it only dropped a stale or expired item
    /// or found the team over its quota, so that the selection must be repeated.
    fn take_first(
        &mut self,
        selection: Selection,
        team: u32,
        now: Timestamp,
    ) -> Option<QueueEntry> {
        let state = &mut self.teams[team as usize];
        let heap = state.team_queue_mut(selection.kind).first_heap_mut();
        let (slot, generation) = heap.peek().map(|item| (item.slot, item.generation))?;
        let waiting = self.slots[slot as usize].as_mut();
        let Some(waiting) = waiting.filter(|waiting| waiting.generation == generation) else {
            heap.pop_stale();
            return None;
        };
        if waiting.entry.is_expired(now) {
            waiting.state = EntryState::Expired;
            heap.pop_live();
            return None;
        }
        if !state.may_start(&waiting.entry.need) {
            state.team_queue_mut(selection.kind).over_quota = true;
            return None;
        }
        heap_pop(state, selection.kind);
        self.turns += 1;
        state.team_queue_mut(selection.kind).last_turn = self.turns;
        self.kinds[selection.kind as usize].last_turn = self.turns;
        self.urgent_streak = match selection.urgent {
            true => self.urgent_streak + 1,
            false => 0,
        };
        self.take(slot, true)
    }

    pub(super) fn insert(&mut self, entry: QueueEntry) -> Option<u32> {
        if self.by_work.contains_key(&entry.work) {
            return None;
        }
        let team = self.team_index(&entry.team);
        let arrival = self.next_generation();
        let slot = self.vacant_slots.pop().unwrap_or_else(|| {
            self.slots.push(None);
            (self.slots.len() - 1) as u32
        });
        let kind = &mut self.kinds[entry.kind as usize];
        kind.len += 1;
        let urgent = usize::from(entry.priority.is_urgent());
        let waiting = &mut self.teams[team as usize].team_queue_mut(entry.kind).waiting[urgent];
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
            generation: arrival,
            state: EntryState::Held,
        });
        Some(slot)
    }

    /// Adds an entry that is in no heap or list to the heap of its team.
    pub(super) fn make_ready(&mut self, slot: u32) {
        let generation = self.next_generation();
        let Some(waiting) = &mut self.slots[slot as usize] else {
            return;
        };
        waiting.state = EntryState::Ready;
        waiting.generation = generation;
        let (kind, team) = (waiting.entry.kind, waiting.team);
        let item = ReadyItem::new(&waiting.entry, waiting.arrival, slot, generation);
        let team_queue = self.teams[team as usize].team_queue_mut(kind);
        team_queue.heap_mut(waiting.entry.priority).push(item);
        self.refresh_team_queue(kind, team);
    }

    /// Makes the heap or list item of an entry stale.
    pub(super) fn invalidate_item(&mut self, slot: u32) {
        let generation = self.next_generation();
        let Some(waiting) = &mut self.slots[slot as usize] else {
            return;
        };
        waiting.generation = generation;
        let (kind, team, state) = (waiting.entry.kind, waiting.team, waiting.state);
        let (priority, enqueued) = (waiting.entry.priority, waiting.entry.enqueued);
        let slots = &self.slots;
        let is_live = |slot: u32, generation: u64| {
            let waiting = slots[slot as usize].as_ref();
            waiting.is_some_and(|waiting| waiting.generation == generation)
        };
        match state {
            EntryState::Ready => {
                let team_queue = self.teams[team as usize].team_queue_mut(kind);
                let heap = team_queue.heap_mut(priority);
                heap.note_stale(|item| is_live(item.slot, item.generation));
                team_queue.over_quota = false;
                self.refresh_team_queue(kind, team);
            }
            EntryState::Deferred => {
                let kind_queue = &mut self.kinds[kind as usize];
                kind_queue.deferred_gangs.remove(&(enqueued, slot));
                let team_queue = self.teams[team as usize].team_queue_mut(kind);
                team_queue.deferred_mut(priority).note_stale(is_live);
            }
            EntryState::Held | EntryState::Expired => {}
        }
    }

    /// Removes an entry that is in no heap or list. `deadline_stale` is true if its item in the heap of deadlines
    /// remains.
    fn take(&mut self, slot: u32, deadline_stale: bool) -> Option<QueueEntry> {
        let QueueSlot { entry, team, .. } = self.slots[slot as usize].take()?;
        self.vacant_slots.push(slot);
        self.by_work.remove(&entry.work);
        let kind = &mut self.kinds[entry.kind as usize];
        kind.len -= 1;
        let urgent = usize::from(entry.priority.is_urgent());
        let waiting = &mut self.teams[team as usize].team_queue_mut(entry.kind).waiting[urgent];
        *waiting -= 1;
        kind.waiting_teams[urgent] -= u64::from(*waiting == 0);
        kind.bytes = kind.bytes.saturating_sub(entry.bytes);
        if entry.deadline.is_some() && deadline_stale {
            let slots = &self.slots;
            self.deadlines.note_stale(|item| is_waiting(slots, item));
        }
        Some(entry)
    }

    pub(super) fn next_generation(&mut self) -> u64 {
        self.last_generation += 1;
        self.last_generation
    }
}

fn heap_pop(team: &mut TeamState, kind: WorkKind) {
    team.team_queue_mut(kind).first_heap_mut().pop_live();
}

fn is_waiting(slots: &[Option<QueueSlot>], item: &DeadlineItem) -> bool {
    let waiting = slots[item.slot as usize].as_ref();
    waiting.is_some_and(|waiting| waiting.arrival == item.arrival)
}
