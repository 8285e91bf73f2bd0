use crate::owner::position::Written;

/// What became of an attempt to write.
#[derive(Debug)]
pub(super) enum Attempt {
    /// It took effect.
    Made,
    /// It had no effect, but an earlier one without an answer had: the progress of these jobs is durable.
    Overtaken(Written),
    /// It had no effect.
    Failed,
    /// It was not answered and may take effect.
    Unknown,
}
