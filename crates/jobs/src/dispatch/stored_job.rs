use crate::job::{JobRecord, JobState};

/// What the store holds for a job that an executor names and the owner does not know.
#[derive(Debug, Clone)]
pub enum StoredJob {
    /// A job that has not ended.
    Live(JobRecord),
    /// Only the final state of a job that has ended.
    Ended(JobState),
    /// Nothing.
    Absent,
}
