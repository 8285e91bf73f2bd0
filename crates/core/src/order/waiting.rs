//! Entries that are not selected: deferred for lack of capacity, or held by an operator.

use crate::id::WorkId;
use crate::order::queue_slot::EntryState;
use crate::order::{FairQueue, QueueEntry};
use crate::unit::Priority;
use crate::work::WorkKind;

impl FairQueue {
    /// Adds an entry again that `next` returned and that can't be placed now. It doesn't block others and is not
    /// selected until `retry`. Returns false and changes nothing if the work already waits.
    pub fn defer(&mut self, entry: QueueEntry) -> bool {
        let (kind, priority, enqueued) = (entry.kind, entry.priority, entry.enqueued);
        let Some(slot) = self.insert(entry) else {
            return false;
        };
        if let Some(waiting) = &mut self.slots[slot as usize] {
            waiting.state = EntryState::Deferred;
            let (team, generation) = (waiting.team, waiting.generation);
            let kind_queue = &mut self.kinds[kind as usize];
            let deferred = self.teams[team as usize]
                .team_queue_mut(kind)
                .deferred_mut(priority);
            if !std::mem::replace(&mut deferred.listed, true) {
                kind_queue.deferred_teams[usize::from(priority.is_urgent())].push_back(team);
            }
            deferred.push(slot, generation);
            if kind == WorkKind::Gang {
                kind_queue.deferred_gangs.insert((enqueued, slot));
            }
        }
        true
    }

    /// Makes up to `limit` urgent and `limit` regular deferred entries of a kind ready again. Teams take turns, and the
    /// entries of a team go in order. Returns the number of entries.
    ///
    /// The limit bounds the work done for one freed worker while many large entries wait. Urgent entries have a limit
    /// of their own, because they would otherwise wait until all regular ones were tried.
    pub fn retry_kind(&mut self, kind: WorkKind, limit: usize) -> usize {
        let urgent = self.retry_deferred(kind, Priority::HIGHEST, limit);
        urgent + self.retry_deferred(kind, Priority::LOWEST, limit)
    }

    fn retry_deferred(&mut self, kind: WorkKind, priority: Priority, limit: usize) -> usize {
        let mut count = 0;
        while count < limit {
            let teams = &mut self.kinds[kind as usize].deferred_teams;
            let Some(team) = teams[usize::from(priority.is_urgent())].pop_front() else {
                break;
            };
            let team_queue = self.teams[team as usize].team_queue_mut(kind);
            let deferred = team_queue.deferred_mut(priority);
            let popped = deferred.pop();
            deferred.listed = !deferred.is_empty();
            if deferred.listed {
                let teams = &mut self.kinds[kind as usize].deferred_teams;
                teams[usize::from(priority.is_urgent())].push_back(team);
            }
            let Some((slot, generation)) = popped else {
                continue;
            };
            let waiting = self.slots[slot as usize].as_ref();
            let Some(waiting) = waiting.filter(|waiting| waiting.generation == generation) else {
                let team_queue = self.teams[team as usize].team_queue_mut(kind);
                team_queue.deferred_mut(priority).popped_stale();
                continue;
            };
            let key = (waiting.entry.enqueued, slot);
            self.kinds[kind as usize].deferred_gangs.remove(&key);
            self.make_ready(slot);
            count += 1;
        }
        count
    }

    /// Makes up to `limit` urgent and `limit` regular deferred entries of each kind ready again. Returns the number of
    /// entries.
    pub fn retry(&mut self, limit: usize) -> usize {
        let kinds = WorkKind::ALL.iter();
        kinds.map(|kind| self.retry_kind(*kind, limit)).sum()
    }

    /// Returns the deferred gang job that was accepted first.
    pub fn oldest_deferred_gang(&self) -> Option<&QueueEntry> {
        let (_, slot) = self.kind(WorkKind::Gang).deferred_gangs.first()?;
        let waiting = self.slots[*slot as usize].as_ref();
        waiting.map(|waiting| &waiting.entry)
    }

    /// Makes a deferred entry ready again. Returns true if it was deferred.
    pub fn retry_work(&mut self, work: &WorkId) -> bool {
        let Some(slot) = self.by_work.get(work).copied() else {
            return false;
        };
        let waiting = self.slots[slot as usize].as_ref();
        let deferred = waiting.is_some_and(|waiting| waiting.state == EntryState::Deferred);
        if deferred {
            self.invalidate_item(slot);
            self.make_ready(slot);
        }
        deferred
    }

    /// Keeps an entry from being selected until `release`. Its deadline still applies. Returns true if the work waits.
    pub fn hold(&mut self, work: &WorkId) -> bool {
        let Some(slot) = self.by_work.get(work).copied() else {
            return false;
        };
        self.invalidate_item(slot);
        if let Some(waiting) = &mut self.slots[slot as usize] {
            waiting.state = EntryState::Held;
        }
        true
    }

    /// Makes a held entry ready at its earlier position. Returns true if it was held.
    pub fn release(&mut self, work: &WorkId) -> bool {
        let Some(slot) = self.by_work.get(work).copied() else {
            return false;
        };
        let waiting = self.slots[slot as usize].as_ref();
        let held = waiting.is_some_and(|waiting| waiting.state == EntryState::Held);
        if held {
            self.make_ready(slot);
        }
        held
    }
}
