use std::net::SocketAddr;

use lagoon_core::unit::{Millis, Timestamp};
use lagoon_process::Sharded;
use lagoon_wire::v1;

/// A member that nobody has mentioned for this time is forgotten. Seeds are kept.
const FORGET_AFTER: Millis = Millis::new(60_000);
/// Role of the members that answer heartbeats.
const SCHEDULER: &str = "scheduler";

/// Schedulers by address, with what heartbeats told about them.
#[derive(Debug)]
pub(crate) struct MemberTable {
    seeds: Vec<SocketAddr>,
    members: Sharded<SocketAddr, Entry>,
}

#[derive(Debug)]
struct Entry {
    mentioned: Timestamp,
    /// Last message of the member itself or of a peer, and when it arrived.
    heard: Option<(v1::Member, Timestamp)>,
}

impl MemberTable {
    pub(crate) fn new(seeds: Vec<SocketAddr>, now: Timestamp) -> Self {
        let table = Self {
            seeds,
            members: Sharded::new(),
        };
        for seed in &table.seeds {
            let entry = Entry {
                mentioned: now,
                heard: None,
            };
            table
                .members
                .with(seed, |members| members.insert(*seed, entry));
        }
        table
    }

    /// Takes in a member that answered or was mentioned.
    pub(crate) fn learn(&self, member: &v1::Member, now: Timestamp) {
        let Ok(address) = member.address.parse::<SocketAddr>() else {
            return;
        };
        if member.role != SCHEDULER {
            return;
        }
        let entry = Entry {
            mentioned: now,
            heard: Some((member.clone(), now)),
        };
        self.members
            .with(&address, |members| members.insert(address, entry));
    }

    /// Forgets members that nobody mentions any more and returns their addresses.
    pub(crate) fn forget_old(&self, now: Timestamp) -> Vec<SocketAddr> {
        let mut forgotten = Vec::new();
        self.members.for_each_shard(|members| {
            members.retain(|address, entry| {
                let recent = now.since(entry.mentioned) <= FORGET_AFTER;
                let kept = recent || self.seeds.contains(address);
                if !kept {
                    forgotten.push(*address);
                }
                kept
            });
        });
        forgotten
    }

    /// Returns the addresses of all members in ascending order.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let mut all = Vec::new();
        self.members
            .for_each_shard(|members| all.extend(members.keys().copied()));
        all.sort_unstable();
        all
    }

    /// Returns the members that were heard of, with the time since then.
    pub(crate) fn heard(&self, now: Timestamp) -> Vec<(v1::Member, Millis)> {
        let mut all = Vec::new();
        self.members.for_each_shard(|members| {
            let heard = members.values().filter_map(|entry| entry.heard.as_ref());
            all.extend(heard.map(|(member, at)| (member.clone(), now.since(*at))));
        });
        all.sort_by(|(a, _), (b, _)| a.process.cmp(&b.process));
        all
    }
}
