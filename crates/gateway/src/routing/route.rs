use std::net::SocketAddr;

use lagoon_core::id::Epoch;
use lagoon_core::unit::{Millis, Timestamp};

/// Time without a heartbeat after which an owner is not considered serving and a failure domain not reachable.
pub(super) const SUSPECT_AFTER: Millis = Millis::new(1_500);

/// Owner of a shard.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Route {
    pub(crate) epoch: Epoch,
    pub(crate) owner: SocketAddr,
    /// As last reported by the owner itself, or as relayed with a new epoch.
    pub(crate) serving: bool,
    /// Time of the last heartbeat in which the owner itself claimed the shard.
    pub(crate) last_claimed: Option<Timestamp>,
}

impl Route {
    pub(crate) fn is_serving(&self, now: Timestamp) -> bool {
        let is_recent = |last_claimed| now.since(last_claimed) <= SUSPECT_AFTER;
        self.serving && self.last_claimed.is_some_and(is_recent)
    }

    /// Merges an update. Returns true if waiting requests should look up the route again.
    pub(crate) fn merge(&mut self, update: &Self) -> bool {
        if update.epoch > self.epoch {
            *self = *update;
            return true;
        }
        // A relayed update of the same epoch may be older than what the owner reported itself.
        if update.epoch < self.epoch || update.last_claimed.is_none() {
            return false;
        }
        let changed = (self.serving, self.owner) != (update.serving, update.owner);
        *self = *update;
        changed
    }
}
