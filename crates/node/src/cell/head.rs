use lagoon_adapter::store::StoreItem;
use lagoon_jobs::id::Epoch;
use serde::{Deserialize, Serialize};

/// Head of a lane of the owner's records: a condition of each write there, so that no write of an earlier owner takes
/// effect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    pub(crate) epoch: Epoch,
    /// Number of the write within the epoch and lane.
    pub(crate) write: u64,
}

impl Head {
    /// Reads a head from the store. One that is not readable gets its epoch from its revision, which is higher than any
    /// epoch before.
    pub(crate) fn read(item: &StoreItem) -> Self {
        serde_json::from_slice(&item.value).unwrap_or_else(|e| {
            tracing::error!(key = %item.key, "cell: head is not readable, its epoch is taken from the revision: {e}");
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
