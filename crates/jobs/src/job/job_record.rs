use std::sync::Arc;

use lagoon_core::unit::Timestamp;
use serde::{Deserialize, Serialize};

use crate::id::{Epoch, QueueName};
use crate::policy::Queue;
use crate::spec::JobSpec;

/// Stored record of an accepted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRecord {
    queue: QueueName,
    /// The queue when the job was accepted; `None` in records of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    definition: Option<Arc<Queue>>,
    accepted: Timestamp,
    /// Epoch of the cell's owner when the job was stored; `None` if it had no owner.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    owner: Option<Epoch>,
    spec: JobSpec,
}

impl JobRecord {
    /// Creates the record of a job that was submitted to `queue` and accepted at `accepted`.
    pub fn accept(queue: &Arc<Queue>, accepted: Timestamp, spec: JobSpec) -> Self {
        Self {
            definition: Some(Arc::clone(queue)),
            ..Self::new(queue.name.clone(), accepted, spec)
        }
    }

    /// Creates a record without the definition of the queue, as earlier versions stored it.
    pub fn new(queue: QueueName, accepted: Timestamp, spec: JobSpec) -> Self {
        Self {
            queue,
            definition: None,
            accepted,
            owner: None,
            spec,
        }
    }

    /// Sets the epoch of the cell's owner at the time of storing.
    pub fn under(self, owner: Option<Epoch>) -> Self {
        Self { owner, ..self }
    }

    /// Returns the epoch of the cell's owner when the job was stored; `None` if it had no owner.
    pub fn owner(&self) -> Option<Epoch> {
        self.owner
    }

    /// Returns the name of the queue.
    pub fn queue(&self) -> &QueueName {
        &self.queue
    }

    /// Returns the queue as it was when the job was accepted.
    pub fn definition(&self) -> Option<&Arc<Queue>> {
        self.definition.as_ref()
    }

    /// Returns when the job was accepted.
    pub fn accepted(&self) -> Timestamp {
        self.accepted
    }

    /// Returns the specification that the caller submitted.
    pub fn spec(&self) -> &JobSpec {
        &self.spec
    }
}
