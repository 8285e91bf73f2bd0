use lagoon_core::id::{FailureDomain, ShardId};

/// Destination of a call.
#[derive(Debug, Clone)]
pub(crate) enum Target {
    /// The owner of this shard.
    Shard(ShardId),
    /// The owner of the home shard of a key. The shard may be in another failure domain, which may be unreachable.
    Home(ShardId),
    /// The owner of any served shard of the gateway's failure domain.
    AnyServing,
}

impl Target {
    /// Returns the only failure domain that can take the call, for a call with a key.
    pub(crate) fn home(&self) -> Option<&FailureDomain> {
        match self {
            Self::Home(shard) => Some(shard.domain()),
            Self::Shard(_) | Self::AnyServing => None,
        }
    }
}
