use std::net::SocketAddr;

use lagoon_core::unit::{Millis, Timestamp};
use lagoon_process::Sharded;
use lagoon_wire::v1;

/// Time after which a member that no heartbeat response mentions is removed. Seeds are never removed.
const MEMBER_RETENTION: Millis = Millis::new(60_000);
/// Role of the members that answer heartbeats.
const SCHEDULER: &str = "scheduler";

/// Known schedulers by address, from the settings and from heartbeat responses.
#[derive(Debug)]
pub(crate) struct MemberTable {
    seeds: Vec<SocketAddr>,
    members: Sharded<SocketAddr, Entry>,
}

#[derive(Debug)]
struct Entry {
    last_seen: Timestamp,
    /// Last description of the member, received from itself or a peer, and when it arrived.
    last_message: Option<(v1::Member, Timestamp)>,
}

impl MemberTable {
    pub(crate) fn new(seeds: Vec<SocketAddr>, now: Timestamp) -> Self {
        let table = Self {
            seeds,
            members: Sharded::new(),
        };
        for seed in &table.seeds {
            let entry = Entry {
                last_seen: now,
                last_message: None,
            };
            table
                .members
                .with(seed, |members| members.insert(*seed, entry));
        }
        table
    }

    /// Records a member that responded or that a peer mentioned. Ignores members that are not schedulers.
    pub(crate) fn update(&self, member: &v1::Member, now: Timestamp) {
        let Ok(address) = member.address.parse::<SocketAddr>() else {
            return;
        };
        if member.role != SCHEDULER {
            return;
        }
        let entry = Entry {
            last_seen: now,
            last_message: Some((member.clone(), now)),
        };
        self.members
            .with(&address, |members| members.insert(address, entry));
    }

    /// Removes members that have not been seen within `MEMBER_RETENTION` and returns their addresses.
    pub(crate) fn remove_stale(&self, now: Timestamp) -> Vec<SocketAddr> {
        let mut removed = Vec::new();
        self.members.for_each_shard(|members| {
            members.retain(|address, entry| {
                let recent = now.since(entry.last_seen) <= MEMBER_RETENTION;
                let keep = recent || self.seeds.contains(address);
                if !keep {
                    removed.push(*address);
                }
                keep
            });
        });
        removed
    }

    /// Returns the addresses of all members in ascending order.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let mut all = Vec::new();
        self.members
            .for_each_shard(|members| all.extend(members.keys().copied()));
        all.sort_unstable();
        all
    }

    /// Returns the members for which there is a description, with its age.
    pub(crate) fn list_with_age(&self, now: Timestamp) -> Vec<(v1::Member, Millis)> {
        let mut all = Vec::new();
        self.members.for_each_shard(|members| {
            let messages = members
                .values()
                .filter_map(|entry| entry.last_message.as_ref());
            all.extend(messages.map(|(member, at)| (member.clone(), now.since(*at))));
        });
        all.sort_by(|(a, _), (b, _)| a.process.cmp(&b.process));
        all
    }
}
