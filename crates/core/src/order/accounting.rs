//! Shares, capacity and limits of the queue, and its sizes.

use crate::id::{TeamId, WorkId};
use crate::order::team_lane::LaneKey;
use crate::order::team_state::TeamState;
use crate::order::{FairQueue, QueueEntry};
use crate::policy::Policy;
use crate::unit::{Bytes, Priority, Resources};
use crate::work::WorkKind;

impl FairQueue {
    /// Counts `resources` as running for the kind and the team.
    pub fn charge(&mut self, kind: WorkKind, team: &TeamId, resources: Resources) {
        let number = self.team_number(team);
        self.recount(kind, number, |in_use| in_use.saturating_add(resources));
    }

    /// Reverses `charge` when the work has ended. The team's work that waited for its quota is tried again.
    pub fn uncharge(&mut self, kind: WorkKind, team: &TeamId, resources: Resources) {
        let number = self.team_number(team);
        self.recount(kind, number, |in_use| in_use.saturating_sub(resources));
        self.teams[number as usize].clear_over_quota();
        for kind in WorkKind::ALL {
            self.refresh_lane(*kind, number);
        }
    }

    /// Sets the capacity by which shares are measured.
    pub fn set_total_capacity(&mut self, total_capacity: Resources) {
        if total_capacity != self.total_capacity {
            self.total_capacity = total_capacity;
            self.refresh_all();
        }
    }

    /// Takes weights, quotas and shares from a new version of the policy.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
        for team in &mut self.teams {
            team.apply(&self.policy);
        }
        self.refresh_all();
    }

    /// Stops or resumes the selection of a kind, such as service requests while all executor slots are in use.
    pub fn set_paused(&mut self, kind: WorkKind, paused: bool) {
        self.kinds[kind as usize].paused = paused;
    }

    /// Returns the number of waiting entries.
    pub fn len(&self) -> usize {
        self.by_work.len()
    }

    /// Tells whether nothing waits.
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

    /// Returns what runs of a kind.
    pub fn in_use_of(&self, kind: WorkKind) -> Resources {
        self.kind(kind).in_use
    }

    /// Returns what runs of a team.
    pub fn team_in_use(&self, team: &TeamId) -> Resources {
        let state = self.team_state(team);
        state.map_or(Resources::ZERO, |state| state.in_use)
    }

    /// Returns the number of a team's entries, over all kinds, wherever they wait.
    pub fn team_len(&self, team: &TeamId) -> u64 {
        let Some(state) = self.team_state(team) else {
            return 0;
        };
        let lanes = WorkKind::ALL.iter().map(|kind| state.lane(*kind));
        lanes.flat_map(|lane| lane.waiting).sum()
    }

    /// Estimates how many entries of the kind start before a new entry of the team: the team's own entries of at least
    /// that urgency, times the number of teams that take turns, and at most all entries of the kind. Entries that were
    /// set aside count, because they wait for the same capacity.
    pub fn entries_ahead(&self, kind: WorkKind, team: &TeamId, priority: Priority) -> u64 {
        let lane = self.team_state(team).map(|state| state.lane(kind));
        let [regular, urgent] = lane.map_or([0, 0], |lane| lane.waiting);
        let [regular_teams, urgent_teams] = self.kind(kind).waiting_teams;
        let (own, turns) = match priority.is_urgent() {
            true => (urgent, urgent_teams),
            false => (urgent + regular, regular_teams.max(urgent_teams)),
        };
        own.saturating_mul(turns.max(1)).min(self.kind(kind).len)
    }

    pub(super) fn team_number(&mut self, team: &TeamId) -> u32 {
        if let Some(number) = self.team_numbers.get(team) {
            return *number;
        }
        let number = self.teams.len() as u32;
        self.teams.push(TeamState::new(team.clone(), &self.policy));
        self.team_numbers.insert(team.clone(), number);
        number
    }

    /// Updates the position of a lane after a change of its share, its work or its quota.
    pub(super) fn refresh_lane(&mut self, kind: WorkKind, number: u32) {
        let total_capacity = &self.total_capacity;
        let team = &mut self.teams[number as usize];
        let weight = f64::from(team.weight.get());
        let lane = team.lane_mut(kind);
        let share = lane.in_use.dominant_share(total_capacity) / weight;
        let key: LaneKey = (share.to_bits(), lane.last_turn, number);
        let urgent = !lane.over_quota && !lane.urgent.is_empty();
        let ready = !lane.over_quota && (urgent || !lane.regular.is_empty());
        let queue = &mut self.kinds[kind as usize];
        let sets = [
            (&mut queue.ready, &mut lane.ready_key, ready),
            (&mut queue.urgent, &mut lane.urgent_key, urgent),
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
        for number in 0..self.teams.len() as u32 {
            for kind in WorkKind::ALL {
                self.refresh_lane(*kind, number);
            }
        }
    }

    fn team_state(&self, team: &TeamId) -> Option<&TeamState> {
        let number = *self.team_numbers.get(team)?;
        self.teams.get(number as usize)
    }

    fn recount(&mut self, kind: WorkKind, number: u32, change: impl Fn(Resources) -> Resources) {
        let queue = &mut self.kinds[kind as usize];
        queue.in_use = change(queue.in_use);
        let team = &mut self.teams[number as usize];
        team.in_use = change(team.in_use);
        let lane = team.lane_mut(kind);
        lane.in_use = change(lane.in_use);
        self.refresh_lane(kind, number);
    }
}
