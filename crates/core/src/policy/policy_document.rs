use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::id::{HostId, PolicyVersion, ServiceName, TeamId};
use crate::policy::{
    HealthPolicy, KindPolicies, Percent, PolicyProblem, QueuePolicy, ServicePolicy, TeamPolicy,
};
use crate::unit::{Bytes, Millicores, Millis};
use crate::work::WorkKind;

/// The versioned policy document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Version; only increases.
    pub version: PolicyVersion,
    /// Teams by name.
    #[serde(default)]
    pub teams: BTreeMap<TeamId, TeamPolicy>,
    /// Limits of teams that `teams` does not name. Without it, their work is refused.
    #[serde(default)]
    pub default_team: Option<TeamPolicy>,
    /// Shares of each kind of work.
    #[serde(default)]
    pub kinds: KindPolicies,
    /// Services by name.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, ServicePolicy>,
    /// Bounds of each shard's queue.
    #[serde(default)]
    pub queue: QueuePolicy,
    /// When a failing worker rests.
    #[serde(default)]
    pub health: HealthPolicy,
    /// Hosts that receive no new work.
    #[serde(default)]
    pub drained_hosts: BTreeSet<HostId>,
    /// Largest number of retries as a percentage of recent first starts.
    #[serde(default = "default_retry_budget")]
    pub retry_budget_percent: Percent,
}

fn default_retry_budget() -> Percent {
    Percent::new(10)
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            version: PolicyVersion::new(1),
            teams: BTreeMap::new(),
            default_team: None,
            kinds: KindPolicies::default(),
            services: BTreeMap::new(),
            queue: QueuePolicy::default(),
            health: HealthPolicy::default(),
            drained_hosts: BTreeSet::new(),
            retry_budget_percent: default_retry_budget(),
        }
    }
}

impl Policy {
    /// Returns the limits of `team`, or those of `default_team` if it is not named.
    pub fn team(&self, team: &TeamId) -> Option<&TeamPolicy> {
        self.teams.get(team).or(self.default_team.as_ref())
    }

    /// Returns every problem of the document; the list is empty if the document is valid.
    pub fn validate(&self) -> Vec<PolicyProblem> {
        let mut problems = Problems::default();
        let version = self.version.get();
        problems.check(version > 0, "version", version, "a number above 0");
        for (name, team) in &self.teams {
            check_team(&mut problems, &format!("teams.{name}"), team);
        }
        if let Some(team) = &self.default_team {
            check_team(&mut problems, "default_team", team);
        }
        self.check_kinds(&mut problems);
        for (name, service) in &self.services {
            let (timeout, limit) = (service.request_timeout, service.queue_limit);
            let key = |field| format!("services.{name}.{field}");
            let positive = timeout > Millis::ZERO;
            problems.check(positive, key("request_timeout"), timeout, "a time above 0");
            problems.check(limit > 0, key("queue_limit"), limit, "a number above 0");
        }
        let QueuePolicy { items, bytes } = self.queue;
        problems.check(items > 0, "queue.items", items, "a number above 0");
        let positive = bytes > Bytes::ZERO;
        problems.check(positive, "queue.bytes", bytes, "a size above 0");
        self.check_health(&mut problems);
        problems.check_percent("retry_budget_percent", self.retry_budget_percent);
        problems.0
    }

    fn check_kinds(&self, problems: &mut Problems) {
        let mut sum = 0;
        for kind in WorkKind::ALL {
            let shares = self.kinds.get(*kind);
            let (guaranteed, ceiling) = (shares.guaranteed_percent, shares.ceiling_percent);
            sum += u32::from(guaranteed.get());
            let key = format!("kinds.{kind}.ceiling_percent");
            let valid = (Percent::new(1)..=Percent::FULL).contains(&ceiling);
            problems.check(valid, key, ceiling, "a percentage from 1 to 100");
            let key = format!("kinds.{kind}.guaranteed_percent");
            let expected = "at most the ceiling";
            problems.check(guaranteed <= ceiling, key, guaranteed, expected);
        }
        let expected = "guaranteed shares of at most 100% together";
        problems.check(sum <= 100, "kinds", format!("{sum}%"), expected);
    }

    fn check_health(&self, problems: &mut Problems) {
        let health = &self.health;
        for (key, value) in [("window", health.window), ("rest", health.rest)] {
            let positive = value > Millis::ZERO;
            problems.check(positive, format!("health.{key}"), value, "a time above 0");
        }
        let failures = health.failures;
        let positive = failures > 0;
        problems.check(positive, "health.failures", failures, "a number above 0");
        let cap = health.rested_share_cap_percent;
        problems.check_percent("health.rested_share_cap_percent", cap);
    }
}

fn check_team(problems: &mut Problems, key: &str, team: &TeamPolicy) {
    let (weight, limit, quota) = (team.weight, team.queue_limit, team.quota);
    let field = |field| format!("{key}.{field}");
    let positive = weight.get() > 0;
    problems.check(positive, field("weight"), weight, "a number above 0");
    problems.check(limit > 0, field("queue_limit"), limit, "a number above 0");
    let positive = quota.cpu > Millicores::ZERO && quota.memory > Bytes::ZERO;
    let expected = "processors and memory above 0";
    problems.check(positive, field("quota"), quota, expected);
}

#[derive(Default)]
struct Problems(Vec<PolicyProblem>);

impl Problems {
    fn check(&mut self, valid: bool, key: impl Into<String>, found: impl ToString, expected: &str) {
        if !valid {
            self.0.push(PolicyProblem {
                key: key.into(),
                found: found.to_string(),
                expected: expected.to_owned(),
            });
        }
    }

    fn check_percent(&mut self, key: &str, found: Percent) {
        self.check(found <= Percent::FULL, key, found, "at most 100%");
    }
}
