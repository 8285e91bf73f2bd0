/// An event that changes the phase of a shard's ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardEvent {
    /// This process was elected to own the shard.
    Elected,
    /// The claim was written and the journal replayed.
    Claimed,
    /// Another process's claim won.
    ClaimLost,
    /// Every worker of the previous owners has responded.
    Fenced,
    /// A handover to a peer began.
    HandOverStarted,
    /// The peer did not take the shard over.
    HandOverFailed,
    /// A higher epoch was seen.
    Superseded,
    /// An invariant was violated.
    Broken,
}
