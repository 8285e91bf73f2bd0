//! Usage, shares and limits of the kinds and teams, and the sizes of the queue.

use crate::id::{TeamId, WorkId};
use crate::order::team_queue::TeamQueueKey;
use crate::order::team_state::TeamState;
use crate::order::{FairQueue, QueueEntry};
use crate::policy::Policy;
use crate::unit::{Bytes, Priority, Resources};
use crate::work::WorkKind;

impl FairQueue {
    /// Adds `resources` to the usage of the kind and the team.
    pub fn charge(&mut self, kind: WorkKind, team: &TeamId, resources: Resources) {
        let index = self.team_index(team);
        self.recount(kind, index, |in_use| in_use.saturating_add(resources));
    }

    /// Subtracts `resources` from the usage of the kind and the team when the work has ended. The team's work that
    /// waited for its quota is eligible again.
    pub fn uncharge(&mut self, kind: WorkKind, team: &TeamId, resources: Resources) {
        let index = self.team_index(team);
        self.recount(kind, index, |in_use| in_use.saturating_sub(resources));
        self.teams[index as usize].clear_over_quota();
        for kind in WorkKind::ALL {
            self.refresh_team_queue(*kind, index);
        }
    }

    /// Sets the total capacity, of which shares are fractions.
    pub fn set_total_capacity(&mut self, total_capacity: Resources) {
        if total_capacity != self.total_capacity {
            self.total_capacity = total_capacity;
            self.refresh_all();
        }
    }

    /// Applies the weights, quotas and shares of a new policy version.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
        for team in &mut self.teams {
            team.apply(&self.policy);
        }
        self.refresh_all();
    }

    /// Pauses or resumes the selection of a kind, such as service requests while all executor slots are in use.
    pub fn set_paused(&mut self, kind: WorkKind, paused: bool) {
        self.kinds[kind as usize].paused = paused;
    }

    /// Returns the number of waiting entries.
    pub fn len(&self) -> usize {
        self.by_work.len()
    }

    /// Returns true if nothing waits.
    pub fn is_empty(&self) -> bool {
        self.by_work.is_empty()
    }

    /// Returns the number of waiting entries of a kind.
    pub fn len_of(&self, kind: WorkKind) -> u64 {
        self.kind(kind).len
    }

    /// Returns the size of the waiting entries of a kind.
    pub fn bytes_of(&self, kind: WorkKind) -> Bytes {
        self.kind(kind).bytes
    }

    /// Returns a waiting entry.
    pub fn get(&self, work: &WorkId) -> Option<&QueueEntry> {
        let slot = *self.by_work.get(work)?;
        self.slots[slot as usize].as_ref().map(|slot| &slot.entry)
    }

    /// Returns the resources in use by a kind.
    pub fn in_use_of(&self, kind: WorkKind) -> Resources {
        self.kind(kind).in_use
    }

    /// Returns the resources in use by a team.
    pub fn team_in_use(&self, team: &TeamId) -> Resources {
        let state = self.team_state(team);
        state.map_or(Resources::ZERO, |state| state.in_use)
    }

    /// Returns the number of a team's entries over all kinds and states.
    pub fn team_len(&self, team: &TeamId) -> u64 {
        let Some(state) = self.team_state(team) else {
            return 0;
        };
        let queues = WorkKind::ALL.iter().map(|kind| state.team_queue(*kind));
        queues.flat_map(|team_queue| team_queue.waiting).sum()
    }

    /// Estimates how many entries of the kind start before a new entry of the team: the team's own entries of at least
    /// that urgency, times the number of teams that take turns, and at most all entries of the kind. Deferred entries
    /// count, because they wait for the same capacity.
    pub fn entries_ahead(&self, kind: WorkKind, team: &TeamId, priority: Priority) -> u64 {
        let team_queue = self.team_state(team).map(|state| state.team_queue(kind));
        let [regular, urgent] = team_queue.map_or([0, 0], |team_queue| team_queue.waiting);
        let [regular_teams, urgent_teams] = self.kind(kind).waiting_teams;
        let (own, turns) = match priority.is_urgent() {
            true => (urgent, urgent_teams),
            false => (urgent + regular, regular_teams.max(urgent_teams)),
        };
        own.saturating_mul(turns.max(1)).min(self.kind(kind).len)
    }

    pub(super) fn team_index(&mut self, team: &TeamId) -> u32 {
        if let Some(index) = self.team_indices.get(team) {
            return *index;
        }
        let index = self.teams.len() as u32;
        self.teams.push(TeamState::new(team.clone(), &self.policy));
        self.team_indices.insert(team.clone(), index);
        index
    }

    /// Updates the position of a team's queue after a change of its share, its entries or its quota.
    pub(super) fn refresh_team_queue(&mut self, kind: WorkKind, index: u32) {
        let total_capacity = &self.total_capacity;
        let team = &mut self.teams[index as usize];
        let weight = f64::from(team.weight.get());
        let team_queue = team.team_queue_mut(kind);
        let share = team_queue.in_use.dominant_share(total_capacity) / weight;
        let key: TeamQueueKey = (share.to_bits(), team_queue.last_turn, index);
        let urgent = !team_queue.over_quota && !team_queue.urgent.is_empty();
        let ready = !team_queue.over_quota && (urgent || !team_queue.regular.is_empty());
        let kind_queue = &mut self.kinds[kind as usize];
        let sets = [
            (&mut kind_queue.ready, &mut team_queue.ready_key, ready),
            (&mut kind_queue.urgent, &mut team_queue.urgent_key, urgent),
        ];
        for (set, current, wanted) in sets {
            let wanted = wanted.then_some(key);
            if *current != wanted {
                if let Some(old) = current.take() {
                    set.remove(&old);
                }
                set.extend(wanted);
                *current = wanted;
            }
        }
    }

    fn refresh_all(&mut self) {
        for index in 0..self.teams.len() as u32 {
            for kind in WorkKind::ALL {
                self.refresh_team_queue(*kind, index);
            }
        }
    }

    fn team_state(&self, team: &TeamId) -> Option<&TeamState> {
        let index = *self.team_indices.get(team)?;
        self.teams.get(index as usize)
    }

    fn recount(&mut self, kind: WorkKind, index: u32, change: impl Fn(Resources) -> Resources) {
        let kind_queue = &mut self.kinds[kind as usize];
        kind_queue.in_use = change(kind_queue.in_use);
        let team = &mut self.teams[index as usize];
        team.in_use = change(team.in_use);
        let team_queue = team.team_queue_mut(kind);
        team_queue.in_use = change(team_queue.in_use);
        self.refresh_team_queue(kind, index);
    }
}
