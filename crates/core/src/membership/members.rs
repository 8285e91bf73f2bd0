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
    /// Starts without peers; one is suspect when no heartbeat came for `suspect_after`.
    pub fn new(suspect_after: Millis) -> Self {
        Self {
            suspect_after,
            peers: BTreeMap::new(),
        }
    }

    /// Takes a heartbeat. One that was overtaken by a later one does not take back a policy version or an epoch.
    pub fn on_heartbeat(&mut self, mut member: Member, now: Timestamp) {
        let mut seen = now;
        if let Some((known, last)) = self.peers.get(&member.process) {
            member.policy = member.policy.max(known.policy);
            for (shard, epoch) in &mut member.shards {
                let before = known.shards.get(shard).copied();
                *epoch = before.map_or(*epoch, |before| before.max(*epoch));
            }
            seen = now.max(*last);
        }
        self.peers.insert(member.process.clone(), (member, seen));
    }

    /// Forgets a process that said that it left.
    pub fn remove(&mut self, process: &ProcessId) {
        self.peers.remove(process);
    }

    /// Returns the peers whose heartbeat is recent.
    pub fn alive(&self, now: Timestamp) -> impl Iterator<Item = &Member> {
        self.by_recency(now, true)
    }

    /// Returns the peers whose heartbeat is overdue.
    pub fn suspects(&self, now: Timestamp) -> impl Iterator<Item = &Member> {
        self.by_recency(now, false)
    }

    fn by_recency(&self, now: Timestamp, recent: bool) -> impl Iterator<Item = &Member> {
        let matches = move |seen: Timestamp| (now.since(seen) < self.suspect_after) == recent;
        let peers = self.peers.values();
        peers.filter_map(move |(member, seen)| matches(*seen).then_some(member))
    }

    /// Returns a peer.
    pub fn get(&self, process: &ProcessId) -> Option<&Member> {
        self.peers.get(process).map(|(member, _)| member)
    }

    /// Returns the member with the highest epoch of a shard.
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

    /// Drops peers without a heartbeat for `wait`, so that replaced processes don't pile up.
    pub fn remove_silent(&mut self, wait: Millis, now: Timestamp) {
        self.peers.retain(|_, (_, seen)| now.since(*seen) < wait);
    }
}
