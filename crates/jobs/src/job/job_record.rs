use lagoon_core::unit::Timestamp;
use serde::{Deserialize, Serialize};

use crate::id::{Epoch, QueueName};
use crate::spec::JobSpec;

/// What the store holds of an accepted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRecord {
    queue: QueueName,
    accepted: Timestamp,
    /// Owner of the cell when the job was stored; none if there was none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    owner: Option<Epoch>,
    spec: JobSpec,
}

impl JobRecord {
    /// Notes the queue that a job was submitted to, and when.
    pub fn new(queue: QueueName, accepted: Timestamp, spec: JobSpec) -> Self {
        Self {
            queue,
            accepted,
            owner: None,
            spec,
        }
    }

    /// Names the owner of the cell when the job is stored.
    pub fn under(self, owner: Option<Epoch>) -> Self {
        Self { owner, ..self }
    }

    /// Returns the owner of the cell when the job was stored.
    pub fn owner(&self) -> Option<Epoch> {
        self.owner
    }

    /// Returns the queue.
    pub fn queue(&self) -> &QueueName {
        &self.queue
    }

    /// Returns when the job was accepted.
    pub fn accepted(&self) -> Timestamp {
        self.accepted
    }

    /// Returns what the caller asked for.
    pub fn spec(&self) -> &JobSpec {
        &self.spec
    }
}
