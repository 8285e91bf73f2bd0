use std::fmt;

use lagoon_core::id::{ServiceName, TeamId};
use lagoon_core::policy::Percent;
use lagoon_core::work::WorkKind;

use crate::syntax::{HealthChange, KindChange, QueueChange, ServiceChange, TeamChange};

/// A policy value and its new setting. Displays as the operand of `set`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Setting {
    /// Limits of a team.
    Team(TeamId, TeamChange),
    /// Limits of teams that are not listed in the policy.
    DefaultTeam(TeamChange),
    /// Shares of a kind of work.
    Kind(WorkKind, KindChange),
    /// Limits of a service.
    Service(ServiceName, ServiceChange),
    /// Limits of each shard's queue.
    Queue(QueueChange),
    /// Rule for resting failing workers.
    Health(HealthChange),
    /// Maximum number of retries as a share of recent first starts.
    RetryBudget(Percent),
}

impl Setting {
    pub(crate) const RETRY_BUDGET: &str = "retry_budget_percent";

    /// Returns the dotted path of the value in the policy document.
    pub fn key(&self) -> String {
        match self {
            Self::Team(team, change) => format!("teams.{team}.{}", change.field()),
            Self::DefaultTeam(change) => format!("default_team.{}", change.field()),
            Self::Kind(kind, change) => format!("kinds.{kind}.{}_percent", change.field()),
            Self::Service(service, change) => format!("services.{service}.{}", change.field()),
            Self::Queue(change) => format!("queue.{}", change.field()),
            Self::Health(change) => format!("health.{}", change.field()),
            Self::RetryBudget(_) => Self::RETRY_BUDGET.to_owned(),
        }
    }
}

impl fmt::Display for Setting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Team(team, change) => write!(f, "team {team} {} {change}", change.field()),
            Self::Kind(kind, change) => write!(f, "kind {kind} {} {change}", change.field()),
            Self::DefaultTeam(change) => write!(f, "{} {change}", self.key()),
            Self::Service(_, change) => write!(f, "{} {change}", self.key()),
            Self::Queue(change) => write!(f, "{} {change}", self.key()),
            Self::Health(change) => write!(f, "{} {change}", self.key()),
            Self::RetryBudget(share) => write!(f, "{} {share}", self.key()),
        }
    }
}
