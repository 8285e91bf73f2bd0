/// State of a task at its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PlacementState {
    /// The start was sent or is about to be sent.
    Starting,
    /// The response to the start was lost.
    InDoubt,
    /// The worker reports the task as running.
    Running,
    /// The task ended; its worker may still list it.
    Finished {
        /// False if it never started and never will.
        started: bool,
    },
}
