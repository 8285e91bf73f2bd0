use crate::job::RunLocation;
use crate::record::RecordNumber;

/// What is known of the last run of a long-running task. A location is stored, and a later owner relies on it: the task has no
/// run elsewhere, because it starts again only once its progress without the location is durable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LastRun {
    /// An executor has listed it, and only leases on the clock of that incarnation can keep it running.
    At(RunLocation),
    /// It has ended. The task may start again once this record is durable.
    Ended(RecordNumber),
}
