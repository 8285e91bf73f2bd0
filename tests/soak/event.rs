use crate::proxy::Mode;

/// A fault, or the end of one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Event {
    /// The link of a node to the store changes.
    Link(usize, Mode),
    /// A node stands still.
    Pause(usize),
    /// A node goes on.
    Resume(usize),
    /// A node is killed and started again at once.
    Kill(usize),
    /// Every node is killed at once and started again.
    KillAll,
    /// A node is told to stop and is started again when it has ended.
    Terminate(usize),
    /// A node is told to read its settings anew.
    Hangup(usize),
    /// The store refuses every call.
    StoreBusy,
    /// The store does what it is asked and does not answer.
    StoreLosesAnswers,
    /// The store works again.
    StoreWell,
    /// The store forgets its history.
    ForgetHistory,
    /// A new version of the configuration.
    Configure,
}
