use crate::id::TeamId;
use crate::order::team_queue::TeamQueue;
use crate::policy::{Policy, Weight};
use crate::unit::Resources;
use crate::work::WorkKind;

/// Limits, usage and queues of one team.
#[derive(Debug)]
pub(super) struct TeamState {
    pub(super) id: TeamId,
    pub(super) weight: Weight,
    /// `None` for a team that the policy no longer names, whose accepted work still runs.
    pub(super) quota: Option<Resources>,
    pub(super) in_use: Resources,
    queues: [TeamQueue; 3],
}

impl TeamState {
    pub(super) fn new(id: TeamId, policy: &Policy) -> Self {
        let mut team = Self {
            id,
            weight: Weight::new(1),
            quota: None,
            in_use: Resources::ZERO,
            queues: [TeamQueue::new(), TeamQueue::new(), TeamQueue::new()],
        };
        team.apply(policy);
        team
    }

    /// Applies the weight and quota of `policy`.
    pub(super) fn apply(&mut self, policy: &Policy) {
        let limits = policy.team(&self.id);
        let weight = limits.map_or(Weight::new(1), |limits| limits.weight);
        self.weight = weight.max(Weight::new(1));
        self.quota = limits.map(|limits| limits.quota);
        self.clear_over_quota();
    }

    pub(super) fn clear_over_quota(&mut self) {
        for team_queue in &mut self.queues {
            team_queue.over_quota = false;
        }
    }

    pub(super) fn team_queue(&self, kind: WorkKind) -> &TeamQueue {
        &self.queues[kind as usize]
    }

    pub(super) fn team_queue_mut(&mut self, kind: WorkKind) -> &mut TeamQueue {
        &mut self.queues[kind as usize]
    }

    /// Returns true if `need` and the usage together stay within the quota.
    pub(super) fn may_start(&self, need: &Resources) -> bool {
        let after = self.in_use.checked_add(*need);
        match self.quota {
            Some(quota) => after.is_some_and(|after| after.fits_in(&quota)),
            None => true,
        }
    }
}
