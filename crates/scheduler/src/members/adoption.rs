use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

use lagoon_core::id::{Epoch, ShardId, WorkerId};
use lagoon_core::membership::{home_among, home_shard};
use lagoon_platform::worker::ShardEpoch;

/// Shards without an owner whose workers are adopted, and the shards that share them.
#[derive(Debug, Default)]
pub(crate) struct Adoption {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Each with the last epoch that was heard of.
    orphans: BTreeMap<ShardId, Option<Epoch>>,
    owned: BTreeSet<ShardId>,
}

impl Adoption {
    pub(crate) fn set(&self, orphans: BTreeMap<ShardId, Option<Epoch>>, owned: BTreeSet<ShardId>) {
        *self.lock() = Inner { orphans, owned };
    }

    /// Ends the adoption of a shard that is owned again.
    pub(crate) fn remove(&self, shard: &ShardId) {
        self.lock().orphans.remove(shard);
    }

    pub(crate) fn orphans(&self) -> Vec<ShardId> {
        self.lock().orphans.keys().cloned().collect()
    }

    /// Returns the shard whose tasks on a worker would stop by themselves without its owner.
    pub(crate) fn to_renew(&self, worker: &WorkerId, shards: u16) -> Vec<ShardEpoch> {
        let inner = self.lock();
        let home = home_shard(worker, shards);
        let mut orphans = inner.orphans.iter();
        let home = orphans.find(|(shard, _)| Some(shard.number()) == home);
        let epoch = home.and_then(|(shard, epoch)| {
            let (shard, shard_epoch) = (shard.clone(), (*epoch)?);
            Some(ShardEpoch { shard, shard_epoch })
        });
        epoch.into_iter().collect()
    }

    /// Tells whether an owned shard is to use a worker for its home shard.
    pub(crate) fn assigns(&self, worker: &WorkerId, to: &ShardId, shards: u16) -> bool {
        let inner = self.lock();
        let home = home_shard(worker, shards);
        let mut orphans = inner.orphans.keys().map(ShardId::number);
        if !orphans.any(|orphan| Some(orphan) == home) {
            return false;
        }
        let owned = inner.owned.iter().map(ShardId::number);
        home_among(worker, owned) == Some(to.number())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
