use lagoon_core::id::{FailureDomain, ServiceName, TeamId, Ticket};
use lagoon_core::unit::{Millis, Priority, Resources, Timestamp};
use lagoon_core::work::{PlacementPolicy, Repeatability, WorkKind, WorkSpec};
use serde::Deserialize;

/// Body of `POST /v1/requests`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RequestBody {
    pub(crate) service: ServiceName,
    pub(crate) team: TeamId,
    /// Failure domain whose shards store the idempotency key; a retry must name the same one.
    #[serde(default)]
    pub(crate) home: Option<FailureDomain>,
    #[serde(default)]
    pub(crate) priority: Priority,
    /// Time from now by which the request must have started.
    #[serde(default)]
    pub(crate) deadline_ms: Option<u64>,
    #[serde(default)]
    pub(crate) ticket: Option<Ticket>,
    /// Expected run time; zero means that the scheduler estimates it from earlier requests.
    #[serde(default)]
    pub(crate) run_ms: u64,
    #[serde(default)]
    pub(crate) payload: String,
}

impl RequestBody {
    pub(crate) fn into_spec(self, now: Timestamp) -> WorkSpec {
        WorkSpec {
            kind: WorkKind::Service,
            team: self.team,
            priority: self.priority,
            deadline: self.deadline_ms.map(|ms| now.after(Millis::new(ms))),
            resources: Resources::ZERO,
            task_count: 1,
            run_time: Millis::new(self.run_ms),
            repeatability: Repeatability::AtMostOnce,
            placement: PlacementPolicy::default(),
            service: Some(self.service),
            payload: self.payload,
        }
    }
}
