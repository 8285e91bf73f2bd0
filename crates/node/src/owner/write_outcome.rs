use crate::owner::lane_state::WrittenJobs;

/// Outcome of an attempt to write to a lane of records.
#[derive(Debug)]
pub(super) enum WriteOutcome {
    /// The write took effect.
    Applied,
    /// The write had no effect, but an earlier unanswered one did, so the progress of these jobs is durable.
    EarlierApplied(WrittenJobs),
    /// The write had no effect.
    Failed,
    /// The write was not answered and may still take effect.
    Unknown,
}
