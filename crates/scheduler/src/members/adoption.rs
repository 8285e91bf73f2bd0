use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};

use lagoon_core::id::{ShardId, WorkerId};
use lagoon_core::membership::{home_shard, home_shard_among};

/// Shards without an owner whose workers are adopted, and the owned shards among which the workers are divided.
#[derive(Debug, Default)]
pub(crate) struct Adoption {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    ownerless: BTreeSet<ShardId>,
    owned: BTreeSet<ShardId>,
}

impl Adoption {
    pub(crate) fn set(&self, ownerless: BTreeSet<ShardId>, owned: BTreeSet<ShardId>) {
        *self.lock() = Inner { ownerless, owned };
    }

    /// Ends the adoption of the workers of a shard that has an owner again.
    pub(crate) fn remove(&self, shard: &ShardId) {
        self.lock().ownerless.remove(shard);
    }

    pub(crate) fn ownerless(&self) -> Vec<ShardId> {
        self.lock().ownerless.iter().cloned().collect()
    }

    /// Returns true if the owned shard `to` should adopt a worker.
    pub(crate) fn assigns(&self, worker: &WorkerId, to: &ShardId, shards: u16) -> bool {
        let inner = self.lock();
        let home = home_shard(worker, shards);
        let mut ownerless = inner.ownerless.iter().map(ShardId::number);
        if !ownerless.any(|shard| Some(shard) == home) {
            return false;
        }
        let owned = inner.owned.iter().map(ShardId::number);
        home_shard_among(worker, owned) == Some(to.number())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
