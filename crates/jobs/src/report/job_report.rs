use lagoon_core::unit::{Millis, Timestamp};
use serde::Serialize;

use crate::id::{JobId, QueueName};
use crate::job::JobState;
use crate::report::StepReport;

/// A job that has not ended.
#[derive(Debug, Clone, Serialize)]
pub struct JobReport {
    /// The job.
    pub job: JobId,
    /// Its queue.
    pub queue: QueueName,
    /// Its state. A final one that is not durable yet is shown to callers as running.
    pub state: JobState,
    /// When it was accepted.
    pub accepted: Timestamp,
    /// Time by which it should end.
    pub objective: Timestamp,
    /// Time since it was accepted.
    pub age: Millis,
    /// It was accepted under an earlier owner.
    pub inherited: bool,
    /// Steps that are not done.
    pub steps: Vec<StepReport>,
}
