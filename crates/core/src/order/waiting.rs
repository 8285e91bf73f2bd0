//! Entries that wait outside the order: set aside for lack of capacity, or held by an operator.

use crate::id::WorkId;
use crate::order::queue_slot::Place;
use crate::order::{FairQueue, QueueEntry};
use crate::unit::Priority;
use crate::work::WorkKind;

impl FairQueue {
    /// Puts back an entry that `next` returned and that can't be placed now. It doesn't block others and is not
    /// selected again until `retry`. Returns false and changes nothing if the work already waits.
    pub fn defer(&mut self, entry: QueueEntry) -> bool {
        let (kind, priority, enqueued) = (entry.kind, entry.priority, entry.enqueued);
        let Some(slot) = self.insert(entry) else {
            return false;
        };
        if let Some(waiting) = &mut self.slots[slot as usize] {
            waiting.place = Place::Aside;
            let (team, stamp) = (waiting.team, waiting.stamp);
            let queue = &mut self.kinds[kind as usize];
            let aside = self.teams[team as usize].lane_mut(kind).aside_mut(priority);
            if !std::mem::replace(&mut aside.listed, true) {
                queue.aside_teams[usize::from(priority.is_urgent())].push_back(team);
            }
            aside.push(slot, stamp);
            if kind == WorkKind::Gang {
                queue.gangs_aside.insert((enqueued, slot));
            }
        }
        true
    }

    /// Makes up to `limit` urgent and `limit` regular entries of a kind that were set aside ready again;
    /// returns how many. Teams take turns, and the entries of a team go in order.
    ///
    /// The limit bounds the cost of one freed worker while many large entries wait. Urgent entries have a limit of their
    /// own, because they would otherwise wait until all regular ones were tried.
    pub fn retry_kind(&mut self, kind: WorkKind, limit: usize) -> usize {
        let urgent = self.retry_aside(kind, Priority::HIGHEST, limit);
        urgent + self.retry_aside(kind, Priority::LOWEST, limit)
    }

    fn retry_aside(&mut self, kind: WorkKind, priority: Priority, limit: usize) -> usize {
        let mut count = 0;
        while count < limit {
            let teams = &mut self.kinds[kind as usize].aside_teams;
            let Some(team) = teams[usize::from(priority.is_urgent())].pop_front() else {
                break;
            };
            let lane = self.teams[team as usize].lane_mut(kind);
            let aside = lane.aside_mut(priority);
            let popped = aside.pop();
            aside.listed = !aside.is_empty();
            if aside.listed {
                let teams = &mut self.kinds[kind as usize].aside_teams;
                teams[usize::from(priority.is_urgent())].push_back(team);
            }
            let Some((slot, stamp)) = popped else {
                continue;
            };
            let waiting = self.slots[slot as usize].as_ref();
            let Some(waiting) = waiting.filter(|waiting| waiting.stamp == stamp) else {
                let lane = self.teams[team as usize].lane_mut(kind);
                lane.aside_mut(priority).popped_stale();
                continue;
            };
            let aged = (waiting.entry.enqueued, slot);
            self.kinds[kind as usize].gangs_aside.remove(&aged);
            self.make_ready(slot);
            count += 1;
        }
        count
    }

    /// Makes up to `limit` entries of each kind that were set aside ready again; returns how many.
    pub fn retry(&mut self, limit: usize) -> usize {
        let kinds = WorkKind::ALL.iter();
        kinds.map(|kind| self.retry_kind(*kind, limit)).sum()
    }

    /// Returns the gang job that was accepted first of those set aside.
    pub fn oldest_deferred_gang(&self) -> Option<&QueueEntry> {
        let (_, slot) = self.kind(WorkKind::Gang).gangs_aside.first()?;
        let waiting = self.slots[*slot as usize].as_ref();
        waiting.map(|waiting| &waiting.entry)
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
