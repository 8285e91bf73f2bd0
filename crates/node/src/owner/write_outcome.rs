use crate::owner::lane_state::WrittenJobs;

/// What became of an attempt to write.
#[derive(Debug)]
pub(super) enum WriteOutcome {
    /// It took effect.
    Applied,
    /// It had no effect, but an earlier one without an answer had: the progress of these jobs is durable.
    EarlierApplied(WrittenJobs),
    /// It had no effect.
    Failed,
    /// It was not answered and may take effect.
    Unknown,
}
