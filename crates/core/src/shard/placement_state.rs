/// State of a task in its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PlacementState {
    /// The start was sent or is about to be.
    Starting,
    /// The answer to the start was lost.
    InDoubt,
    /// The worker reports that it runs.
    Running,
    /// The task ended and its worker may still remember it.
    Finished {
        /// False if it never started and never will.
        started: bool,
    },
}
