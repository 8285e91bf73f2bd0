use std::net::SocketAddr;

use lagoon_core::id::Epoch;
use lagoon_core::unit::{Millis, Timestamp};

/// An owner that was not heard of for this time is not counted as serving.
pub(super) const SUSPECT_AFTER: Millis = Millis::new(1_500);

/// Owner of a shard.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Route {
    pub(crate) epoch: Epoch,
    pub(crate) owner: SocketAddr,
    /// What the owner last said itself, or what was relayed with a new epoch.
    pub(crate) serving: bool,
    /// Last heartbeat in which the owner itself claimed the shard.
    pub(crate) last_claimed: Option<Timestamp>,
}

impl Route {
    pub(crate) fn is_serving(&self, now: Timestamp) -> bool {
        let is_recent = |last_claimed| now.since(last_claimed) <= SUSPECT_AFTER;
        self.serving && self.last_claimed.is_some_and(is_recent)
    }

    /// Merges a update claim; returns whether requests should look again.
    pub(crate) fn merge(&mut self, update: &Self) -> bool {
        if update.epoch > self.epoch {
            *self = *update;
            return true;
        }
        // A relayed claim of the same epoch may be older than what the owner said itself.
        if update.epoch < self.epoch || update.last_claimed.is_none() {
            return false;
        }
        let changed = (self.serving, self.owner) != (update.serving, update.owner);
        *self = *update;
        changed
    }
}
