//! Live owners as partners in lending.

use std::collections::BTreeMap;

use lagoon_core::id::{Epoch, ShardId};
use lagoon_core::unit::Timestamp;

use crate::members::MemberTable;

impl MemberTable {
    /// Takes the shards that this process owns.
    pub(crate) fn set_own_epochs(&self, own: BTreeMap<ShardId, Epoch>) {
        self.lock().own_epochs = own;
    }

    /// Returns the shards of the failure domain that live processes own, in ascending order, with their addresses.
    pub(crate) fn lenders(&self, now: Timestamp) -> BTreeMap<ShardId, String> {
        let own = self.own_address();
        let inner = self.lock();
        let peers = inner.members.alive(now);
        let peers = peers.filter(|member| member.domain == self.domain);
        let theirs = peers.flat_map(|member| {
            let owned = member.shards.keys();
            owned.map(|shard| (shard.clone(), member.address.clone()))
        });
        let ours = inner
            .own_epochs
            .keys()
            .map(|shard| (shard.clone(), own.clone()));
        theirs.chain(ours).collect()
    }

    /// Returns the epoch of the live owner of a shard.
    pub(crate) fn live_epoch(&self, shard: &ShardId, now: Timestamp) -> Option<Epoch> {
        let inner = self.lock();
        let alive = inner.members.alive(now);
        let epochs = alive.filter_map(|member| member.shards.get(shard).copied());
        epochs.chain(inner.own_epochs.get(shard).copied()).max()
    }
}
