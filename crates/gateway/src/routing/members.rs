use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use lagoon_core::unit::{Millis, Timestamp};
use lagoon_process::Sharded;
use lagoon_wire::v1;

/// Time after which a scheduler is removed if no heartbeat response has mentioned it. Seeds are never removed.
const MEMBER_RETENTION: Millis = Millis::new(60_000);
/// Role of the members that answer heartbeats.
const SCHEDULER_ROLE: &str = "scheduler";

/// Schedulers to send heartbeats to.
#[derive(Debug)]
pub(crate) struct Members {
    seeds: Vec<SocketAddr>,
    learned: Sharded<SocketAddr, Entry>,
}

#[derive(Debug, Clone)]
struct Entry {
    last_mentioned: Timestamp,
    in_progress: Arc<AtomicBool>,
}

/// Marks a heartbeat to a member as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct HeartbeatGuard {
    in_progress: Arc<AtomicBool>,
}

impl Drop for HeartbeatGuard {
    fn drop(&mut self) {
        self.in_progress.store(false, Ordering::Release);
    }
}

impl Members {
    pub(crate) fn new(seeds: Vec<SocketAddr>, now: Timestamp) -> Self {
        let members = Self {
            seeds,
            learned: Sharded::new(),
        };
        for seed in &members.seeds {
            members.record_mention(*seed, now);
        }
        members
    }

    /// Records a member that responded or was mentioned in a response.
    pub(crate) fn record(&self, member: &v1::Member, now: Timestamp) {
        if member.role == SCHEDULER_ROLE
            && let Ok(address) = member.address.parse()
        {
            self.record_mention(address, now);
        }
    }

    fn record_mention(&self, address: SocketAddr, now: Timestamp) {
        self.learned.with(&address, |entries| {
            let entry = entries.entry(address).or_insert_with(|| Entry {
                last_mentioned: now,
                in_progress: Arc::new(AtomicBool::new(false)),
            });
            entry.last_mentioned = now;
        });
    }

    /// Removes members that were not mentioned within the retention period.
    pub(crate) fn evict_expired(&self, now: Timestamp) {
        let is_retained = |address: &SocketAddr, entry: &Entry| {
            self.seeds.contains(address) || now.since(entry.last_mentioned) <= MEMBER_RETENTION
        };
        self.learned
            .for_each_shard(|entries| entries.retain(|address, entry| is_retained(address, entry)));
    }

    /// Returns the addresses of all members.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        self.learned
            .for_each_shard(|entries| addresses.extend(entries.keys().copied()));
        addresses
    }

    /// Marks a heartbeat to a member as in progress. Returns `None` if one is in progress already.
    pub(crate) fn begin_heartbeat(&self, address: SocketAddr) -> Option<HeartbeatGuard> {
        self.learned.with(&address, |entries| {
            let in_progress = entries.get(&address)?.in_progress.clone();
            let is_idle = !in_progress.swap(true, Ordering::AcqRel);
            is_idle.then_some(HeartbeatGuard { in_progress })
        })
    }
}
