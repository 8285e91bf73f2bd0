use std::fmt;

/// Phase of the ownership of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardPhase {
    /// Another process owns the shard, or no process does.
    Standby,
    /// The claim is being written and the journal replayed.
    Claiming,
    /// Owned; some workers of previous owners have not responded yet.
    Fencing,
    /// Owned, and all inherited work is resolved.
    Serving,
    /// Owned; no new work is accepted because a handover is in progress.
    HandingOver,
    /// Stopped after an invariant violation.
    Stopped,
}

impl ShardPhase {
    /// Returns true if new work is accepted.
    pub const fn accepts_work(self) -> bool {
        matches!(self, Self::Fencing | Self::Serving)
    }

    /// Returns the name as used in messages.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Standby => "standby",
            Self::Claiming => "claiming",
            Self::Fencing => "fencing",
            Self::Serving => "serving",
            Self::HandingOver => "handing_over",
            Self::Stopped => "stopped",
        }
    }
}

impl fmt::Display for ShardPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
