use std::collections::HashMap;

use lagoon_core::shard::{Effect, Reply, Shard, WaiterId};
use lagoon_core::unit::Timestamp;
use tokio::sync::oneshot;

use crate::cell::PlacedBy;

/// A shard that this process owns, with the callers that wait for its replies.
#[derive(Debug)]
pub(crate) struct OwnedShard {
    pub(crate) shard: Shard,
    pub(crate) placed_by: PlacedBy,
    /// When this process became the owner.
    pub(crate) since: Timestamp,
    waiters: HashMap<WaiterId, oneshot::Sender<Reply>>,
    next_waiter: WaiterId,
}

impl OwnedShard {
    pub(crate) fn new(shard: Shard, placed_by: PlacedBy, since: Timestamp) -> Self {
        Self {
            shard,
            placed_by,
            since,
            waiters: HashMap::new(),
            next_waiter: WaiterId::default(),
        }
    }

    /// Registers a caller that waits for a reply.
    pub(crate) fn add_waiter(&mut self) -> (WaiterId, oneshot::Receiver<Reply>) {
        let id = self.next_waiter;
        self.next_waiter = id.next();
        let (tx, rx) = oneshot::channel();
        self.waiters.insert(id, tx);
        (id, rx)
    }

    /// Sends the replies among the pending effects and returns the other effects.
    pub(crate) fn send_replies(&mut self) -> Vec<Effect> {
        let effects = self.shard.take_effects();
        let mut others = Vec::with_capacity(effects.len());
        for effect in effects {
            match effect {
                Effect::Reply { waiter, reply } => {
                    if let Some(tx) = self.waiters.remove(&waiter) {
                        // The caller may have disconnected; its work continues.
                        let _ = tx.send(reply);
                    }
                }
                other => others.push(other),
            }
        }
        others
    }
}
