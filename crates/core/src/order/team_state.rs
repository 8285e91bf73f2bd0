use crate::id::TeamId;
use crate::order::team_lane::TeamLane;
use crate::policy::{Policy, Weight};
use crate::unit::Resources;
use crate::work::WorkKind;

/// Shares, limits and lanes of one team.
#[derive(Debug)]
pub(super) struct TeamState {
    pub(super) id: TeamId,
    pub(super) weight: Weight,
    /// None for a team that the policy no longer names: its accepted work still runs.
    pub(super) quota: Option<Resources>,
    pub(super) in_use: Resources,
    lanes: [TeamLane; 3],
}

impl TeamState {
    pub(super) fn new(id: TeamId, policy: &Policy) -> Self {
        let mut team = Self {
            id,
            weight: Weight::new(1),
            quota: None,
            in_use: Resources::ZERO,
            lanes: [TeamLane::new(), TeamLane::new(), TeamLane::new()],
        };
        team.apply(policy);
        team
    }

    /// Takes weight and quota from `policy`.
    pub(super) fn apply(&mut self, policy: &Policy) {
        let limits = policy.team(&self.id);
        let weight = limits.map_or(Weight::new(1), |limits| limits.weight);
        self.weight = weight.max(Weight::new(1));
        self.quota = limits.map(|limits| limits.quota);
        self.clear_over_quota();
    }

    pub(super) fn clear_over_quota(&mut self) {
        for lane in &mut self.lanes {
            lane.over_quota = false;
        }
    }

    pub(super) fn lane(&self, kind: WorkKind) -> &TeamLane {
        &self.lanes[kind as usize]
    }

    pub(super) fn lane_mut(&mut self, kind: WorkKind) -> &mut TeamLane {
        &mut self.lanes[kind as usize]
    }

    /// Tells whether `need` may start on top of what runs.
    pub(super) fn may_start(&self, need: &Resources) -> bool {
        let after = self.in_use.checked_add(*need);
        match self.quota {
            Some(quota) => after.is_some_and(|after| after.fits_in(&quota)),
            None => true,
        }
    }
}
