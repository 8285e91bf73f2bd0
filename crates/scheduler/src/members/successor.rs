use lagoon_core::id::ProcessId;

/// A peer that may take a shard over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Successor {
    /// Process id.
    pub(crate) process: ProcessId,
    /// Address for calls.
    pub(crate) address: String,
}
