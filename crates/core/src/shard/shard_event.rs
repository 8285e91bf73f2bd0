/// What moves a shard from one phase of its ownership to the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardEvent {
    /// This process should own the shard.
    Elected,
    /// The claim was written and the journal replayed.
    Claimed,
    /// The claim lost against another.
    ClaimLost,
    /// Every worker of the previous owner has answered.
    Fenced,
    /// A peer takes the shard over.
    HandOverStarted,
    /// The peer did not take it.
    HandOverFailed,
    /// A higher epoch was seen.
    Superseded,
    /// An invariant was broken.
    Broken,
}
