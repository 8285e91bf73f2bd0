use lagoon_core::id::{FailureDomain, ShardId};

/// Where a call goes.
#[derive(Debug, Clone)]
pub(crate) enum Target {
    /// The owner of this shard.
    Shard(ShardId),
    /// The owner of the home shard of a key. The failure domain may be another one, so it may be out of reach.
    Home(ShardId),
    /// Any shard of the own failure domain that is being served.
    AnyServing,
}

impl Target {
    /// Returns the failure domain that alone can take the call, for a call with a key.
    pub(crate) fn home(&self) -> Option<&FailureDomain> {
        match self {
            Self::Home(shard) => Some(shard.domain()),
            Self::Shard(_) | Self::AnyServing => None,
        }
    }
}
