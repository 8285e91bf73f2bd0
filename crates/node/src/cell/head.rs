use lagoon_adapter::store::StoreItem;
use lagoon_jobs::id::Epoch;
use serde::{Deserialize, Serialize};

/// Head of a record lane. Every write of the lane is conditional on it, so no write of an earlier owner takes effect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    pub(crate) epoch: Epoch,
    /// Number of the write within the epoch and lane.
    pub(crate) write: u64,
}

impl Head {
    /// Parses a stored head. A malformed one gets its revision as its epoch, which is higher than any earlier epoch.
    pub(crate) fn read(item: &StoreItem) -> Self {
        serde_json::from_slice(&item.value).unwrap_or_else(|e| {
            tracing::error!(key = %item.key, "cell: stored head is malformed, its revision is used as the epoch: {e}");
            Self {
                epoch: Epoch::new(item.revision.get()),
                write: 0,
            }
        })
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("heads have string keys")
    }
}
