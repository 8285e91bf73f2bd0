use lagoon_core::Refusal;
use lagoon_core::id::{FailureDomain, TeamId};
use lagoon_core::unit::{Millis, Priority, Resources, Timestamp};
use lagoon_core::work::{PlacementPolicy, Repeatability, WorkKind, WorkSpec};
use serde::Deserialize;

use crate::api::parse::ensure;
use crate::api::resources_body::ResourcesBody;

/// Body of `POST /v1/jobs`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct JobBody {
    kind: WorkKind,
    pub(crate) team: TeamId,
    /// Failure domain whose shards store the idempotency key; a retry must name the same one.
    #[serde(default)]
    pub(crate) home: Option<FailureDomain>,
    #[serde(default)]
    priority: Priority,
    /// Time from now by which the job must have started.
    #[serde(default)]
    deadline_ms: Option<u64>,
    /// Resources of each task.
    resources: ResourcesBody,
    #[serde(default = "one")]
    members: u32,
    run_ms: u64,
    #[serde(default = "at_most_once")]
    repeatability: Repeatability,
    #[serde(default)]
    placement: PlacementPolicy,
    #[serde(default)]
    payload: String,
}

fn one() -> u32 {
    1
}

/// The default, because running work twice is only safe if its submitter says so.
fn at_most_once() -> Repeatability {
    Repeatability::AtMostOnce
}

impl JobBody {
    pub(crate) fn into_spec(self, now: Timestamp) -> Result<WorkSpec, Refusal> {
        let resources = Resources::from(self.resources);
        let is_supported_kind = self.kind != WorkKind::Service;
        ensure(
            is_supported_kind,
            "kind: expected batch or gang; POST /v1/requests takes service requests",
        )?;
        ensure(self.members > 0, "members: expected at least 1, got 0")?;
        let is_valid_count = self.kind == WorkKind::Gang || self.members == 1;
        ensure(
            is_valid_count,
            "members: expected 1 for a batch job; use kind gang for more",
        )?;
        let nonzero = resources.cpu.get() > 0 && resources.memory.get() > 0;
        ensure(
            nonzero,
            "resources: expected cpu and memory greater than zero",
        )?;
        ensure(
            self.run_ms > 0,
            "run_ms: expected at least 1 millisecond, got 0",
        )?;
        let total = resources.checked_mul(self.members);
        ensure(
            total.is_some(),
            "members: the total resources of all members overflow",
        )?;
        Ok(WorkSpec {
            kind: self.kind,
            team: self.team,
            priority: self.priority,
            deadline: self.deadline_ms.map(|ms| now.after(Millis::new(ms))),
            resources,
            task_count: self.members,
            run_time: Millis::new(self.run_ms),
            repeatability: self.repeatability,
            placement: self.placement,
            service: None,
            payload: self.payload,
        })
    }
}
