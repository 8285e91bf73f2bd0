use std::collections::BTreeMap;

use crate::id::{Epoch, PolicyVersion, ProcessId, ShardId};
use crate::membership::Member;
use crate::unit::{Millis, Timestamp};

/// Peers known by their heartbeats.
#[derive(Debug)]
pub struct Members {
    suspect_after: Millis,
    peers: BTreeMap<ProcessId, (Member, Timestamp)>,
}

impl Members {
    /// Creates a table without peers. A peer becomes suspect when no heartbeat arrived for `suspect_after`.
    pub fn new(suspect_after: Millis) -> Self {
        Self {
            suspect_after,
            peers: BTreeMap::new(),
        }
    }

    /// Records a heartbeat. Heartbeats may be reordered, so the recorded policy version and epochs never decrease.
    pub fn on_heartbeat(&mut self, mut member: Member, now: Timestamp) {
        let mut seen = now;
        if let Some((known, last)) = self.peers.get(&member.process) {
            member.policy = member.policy.max(known.policy);
            for (shard, epoch) in &mut member.shards {
                let known_epoch = known.shards.get(shard).copied();
                *epoch = known_epoch.map_or(*epoch, |known_epoch| known_epoch.max(*epoch));
            }
            seen = now.max(*last);
        }
        self.peers.insert(member.process.clone(), (member, seen));
    }

    /// Removes a process that announced that it leaves.
    pub fn remove(&mut self, process: &ProcessId) {
        self.peers.remove(process);
    }

    /// Returns the peers whose heartbeat is recent.
    pub fn alive(&self, now: Timestamp) -> impl Iterator<Item = &Member> {
        self.by_liveness(now, true)
    }

    /// Returns the peers whose heartbeat is overdue.
    pub fn suspects(&self, now: Timestamp) -> impl Iterator<Item = &Member> {
        self.by_liveness(now, false)
    }

    fn by_liveness(&self, now: Timestamp, recent: bool) -> impl Iterator<Item = &Member> {
        let matches = move |seen: Timestamp| (now.since(seen) < self.suspect_after) == recent;
        let peers = self.peers.values();
        peers.filter_map(move |(member, seen)| matches(*seen).then_some(member))
    }

    /// Returns the last heartbeat of a peer.
    pub fn get(&self, process: &ProcessId) -> Option<&Member> {
        self.peers.get(process).map(|(member, _)| member)
    }

    /// Returns the peer that reported the highest epoch of a shard, and the epoch.
    pub fn owner(&self, shard: &ShardId) -> Option<(&Member, Epoch)> {
        let peers = self.peers.values();
        let owners = peers.filter_map(|(member, _)| Some((member, *member.shards.get(shard)?)));
        owners.max_by_key(|(_, epoch)| *epoch)
    }

    /// Returns the highest policy version that any peer reported.
    pub fn newest_policy(&self) -> PolicyVersion {
        let versions = self.peers.values().map(|(member, _)| member.policy);
        versions.max().unwrap_or_default()
    }

    /// Removes peers without a heartbeat for `wait`, so that replaced processes don't accumulate.
    pub fn remove_silent(&mut self, wait: Millis, now: Timestamp) {
        self.peers.retain(|_, (_, seen)| now.since(*seen) < wait);
    }
}
