use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use lagoon_core::unit::{Millis, Timestamp};
use lagoon_process::Sharded;
use lagoon_wire::v1;

/// A learned scheduler that nobody has mentioned for this time is forgotten. Seeds are kept.
const FORGET_AFTER: Millis = Millis::new(60_000);
/// Role of the members that answer heartbeats.
const SCHEDULER: &str = "scheduler";

/// Schedulers that get heartbeats.
#[derive(Debug)]
pub(crate) struct Members {
    seeds: Vec<SocketAddr>,
    learned: Sharded<SocketAddr, Entry>,
}

#[derive(Debug, Clone)]
struct Entry {
    mentioned: Timestamp,
    busy: Arc<AtomicBool>,
}

/// Marks that a heartbeat to a member is under way; ends with its drop.
#[derive(Debug)]
pub(crate) struct Turn {
    busy: Arc<AtomicBool>,
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.busy.store(false, Ordering::Release);
    }
}

impl Members {
    pub(crate) fn new(seeds: Vec<SocketAddr>, now: Timestamp) -> Self {
        let members = Self {
            seeds,
            learned: Sharded::new(),
        };
        for seed in &members.seeds {
            members.mention(*seed, now);
        }
        members
    }

    /// Takes in a member that answered or was mentioned.
    pub(crate) fn learn(&self, member: &v1::Member, now: Timestamp) {
        if member.role == SCHEDULER
            && let Ok(address) = member.address.parse()
        {
            self.mention(address, now);
        }
    }

    fn mention(&self, address: SocketAddr, now: Timestamp) {
        self.learned.with(&address, |entries| {
            let entry = entries.entry(address).or_insert_with(|| Entry {
                mentioned: now,
                busy: Arc::new(AtomicBool::new(false)),
            });
            entry.mentioned = now;
        });
    }

    /// Forgets members that nobody mentions any more.
    pub(crate) fn forget_old(&self, now: Timestamp) {
        let kept = |address: &SocketAddr, entry: &Entry| {
            self.seeds.contains(address) || now.since(entry.mentioned) <= FORGET_AFTER
        };
        self.learned
            .each(|entries| entries.retain(|address, entry| kept(address, entry)));
    }

    /// Returns every member.
    pub(crate) fn all(&self) -> Vec<SocketAddr> {
        let mut all = Vec::new();
        self.learned
            .each(|entries| all.extend(entries.keys().copied()));
        all
    }

    /// Starts a heartbeat to a member unless one is under way.
    pub(crate) fn take_turn(&self, address: SocketAddr) -> Option<Turn> {
        self.learned.with(&address, |entries| {
            let busy = entries.get(&address)?.busy.clone();
            let free = !busy.swap(true, Ordering::AcqRel);
            free.then_some(Turn { busy })
        })
    }
}
