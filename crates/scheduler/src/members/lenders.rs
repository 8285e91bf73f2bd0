//! Live owners that may lend capacity.

use std::collections::BTreeMap;

use lagoon_core::id::{Epoch, ShardId};
use lagoon_core::unit::Timestamp;

use crate::members::MemberTable;

impl MemberTable {
    /// Sets the shards that this process owns.
    pub(crate) fn set_own_epochs(&self, epochs: BTreeMap<ShardId, Epoch>) {
        self.lock().own_epochs = epochs;
    }

    /// Returns the shards of the failure domain that live processes own, in ascending order, with the owner's address.
    pub(crate) fn lenders(&self, now: Timestamp) -> BTreeMap<ShardId, String> {
        let own_address = self.own_address();
        let inner = self.lock();
        let peers = inner.members.alive(now);
        let peers = peers.filter(|member| member.domain == self.domain);
        let peer_shards = peers.flat_map(|member| {
            let owned = member.shards.keys();
            owned.map(|shard| (shard.clone(), member.address.clone()))
        });
        let own_shards = inner
            .own_epochs
            .keys()
            .map(|shard| (shard.clone(), own_address.clone()));
        peer_shards.chain(own_shards).collect()
    }

    /// Returns the epoch at which a live process owns a shard.
    pub(crate) fn live_epoch(&self, shard: &ShardId, now: Timestamp) -> Option<Epoch> {
        let inner = self.lock();
        let alive = inner.members.alive(now);
        let epochs = alive.filter_map(|member| member.shards.get(shard).copied());
        epochs.chain(inner.own_epochs.get(shard).copied()).max()
    }
}
