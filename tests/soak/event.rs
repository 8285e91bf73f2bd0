use crate::proxy::LinkMode;

/// Start or end of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Event {
    /// Changes the link of a node to the store.
    Link(usize, LinkMode),
    /// Pauses a node with SIGSTOP.
    Pause(usize),
    /// Resumes a paused node with SIGCONT.
    Resume(usize),
    /// Kills a node with SIGKILL and starts it again at once.
    Kill(usize),
    /// Kills every node and starts it again.
    KillAll,
    /// Stops a node with SIGTERM and starts it again when it has exited.
    Terminate(usize),
    /// Makes a node reload its settings with SIGHUP.
    Reload(usize),
    /// Makes the store refuse every call.
    StoreBusy,
    /// Makes the store apply calls without sending responses.
    StoreDropsResponses,
    /// Ends a fault of the store.
    StoreRecovered,
    /// Makes the store drop its change history.
    CompactHistory,
    /// Publishes a new version of the configuration.
    Configure,
}
