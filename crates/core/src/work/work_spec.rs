use serde::{Deserialize, Serialize};

use crate::id::{ServiceName, TeamId};
use crate::membership::stable_hash;
use crate::unit::{Bytes, Millis, Priority, Resources, Timestamp};
use crate::work::{PlacementPolicy, Repeatability, WorkKind};

/// Specification of a piece of work, as accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkSpec {
    /// Kind of work.
    pub kind: WorkKind,
    /// Team whose share and quota are charged.
    pub team: TeamId,
    /// Priority.
    #[serde(default)]
    pub priority: Priority,
    /// Time by which the work must have started; `None` if it may wait indefinitely.
    #[serde(default)]
    pub deadline: Option<Timestamp>,
    /// Resources of each task; zero for a service request, which takes one executor slot.
    pub resources: Resources,
    /// Number of tasks; one unless the work is a gang job.
    #[serde(rename = "members")]
    pub task_count: u32,
    /// Declared run time of each task.
    pub run_time: Millis,
    /// Whether a lost run may be started again.
    pub repeatability: Repeatability,
    /// Where tasks may run.
    #[serde(default)]
    pub placement: PlacementPolicy,
    /// Service that answers the request; set only for service requests.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Input of the task or executor.
    #[serde(default)]
    pub payload: String,
}

impl WorkSpec {
    /// Returns the resources of all tasks together, or `None` on overflow.
    pub fn total_resources(&self) -> Option<Resources> {
        self.resources.checked_mul(self.task_count)
    }

    /// Returns a hash of the specification, to detect repeated submissions. It leaves out the deadline, which a gateway
    /// computes from the arrival time of each attempt.
    pub fn fingerprint(&self) -> u64 {
        let service = self.service.as_ref().map_or("", ServiceName::as_str);
        let racks = self.placement.racks.iter().map(|rack| rack.as_str());
        let domains = self.placement.domains.iter().map(|domain| domain.as_str());
        let (task_count, run_time) = (self.task_count.to_string(), self.run_time.to_string());
        let (resources, priority) = (self.resources.to_string(), self.priority.to_string());
        let fixed = [
            self.kind.as_str(),
            self.team.as_str(),
            self.repeatability.as_str(),
            self.placement.spread.as_str(),
            service,
            &self.payload,
            &resources,
            &priority,
            &task_count,
            &run_time,
        ];
        let parts: Vec<&str> = fixed
            .into_iter()
            .chain(racks)
            .chain(["/"])
            .chain(domains)
            .collect();
        stable_hash(&parts)
    }

    /// Returns the memory that the specification takes in a queue.
    pub fn queue_bytes(&self) -> Bytes {
        Bytes::new((size_of::<Self>() + self.payload.len()) as u64)
    }
}
