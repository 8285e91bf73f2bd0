use lagoon_core::unit::{Millis, Timestamp};
use serde::Serialize;

use crate::id::{JobId, QueueName};
use crate::job::JobState;
use crate::report::StepReport;

/// State of a job that has not ended.
#[derive(Debug, Clone, Serialize)]
pub struct JobReport {
    /// Id of the job.
    pub job: JobId,
    /// Queue of the job.
    pub queue: QueueName,
    /// State. A final one that is not durable yet is shown to callers as running.
    pub state: JobState,
    /// Time of acceptance.
    pub accepted: Timestamp,
    /// Time by which it should end.
    pub objective: Timestamp,
    /// Time since acceptance.
    pub age: Millis,
    /// It was accepted under an earlier owner.
    pub inherited: bool,
    /// Steps that are not done.
    pub steps: Vec<StepReport>,
}
