use std::net::SocketAddr;

use lagoon_core::unit::Timestamp;

use crate::dispatch::{Dispatcher, Serving};
use crate::fleet::{Availability, ExecutorSlot, IdentityChange};
use crate::id::{ExecutorId, Incarnation};

/// Connections to an executor on which starts may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartConnections {
    /// Those that were begun earlier are for starts that were decided for another incarnation.
    pub begun_after: Timestamp,
    /// Those that were established later may lead to a later incarnation, or to one that a later owner does not fence.
    pub established_before: Timestamp,
}

impl Dispatcher<Serving> {
    /// Returns the executor that is expected at an address; `None` if there is none.
    pub fn executor_at(&self, address: SocketAddr) -> Option<(ExecutorSlot, ExecutorId)> {
        let executors = self.core.fleet.iter();
        // An address is used again after an executor has left; the one that was observed last has it.
        let found = executors.filter(|(_, e)| {
            e.entry.address == address && e.availability != Availability::Unlisted
        });
        let last = found.last();
        last.map(|(slot, e)| (slot, e.entry.id.clone()))
    }

    /// Returns the connections to an address on which starts may be sent; `None` if no executor is expected there.
    ///
    /// They were established before the current incarnation of the executor was last asked for its list, so that they lead to this
    /// incarnation, and before the ownership was last confirmed, so that a later owner fences it.
    pub fn start_connections(&self, address: SocketAddr) -> Option<StartConnections> {
        let (slot, _) = self.executor_at(address)?;
        let identity = &self.core.fleet.get(slot).identity;
        Some(StartConnections {
            begun_after: identity.known_since(),
            established_before: identity.asked_at().min(self.last_confirmed()),
        })
    }

    /// Handles an answer of an executor to a request that was sent at `sent_at` only to learn its incarnation.
    pub fn identified(
        &mut self,
        slot: ExecutorSlot,
        incarnation: Option<Incarnation>,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        let executor = self.core.fleet.get_mut(slot);
        let change = executor.identity.answer(incarnation, sent_at, now);
        if change == IdentityChange::Unchanged {
            executor.clock.record_answer(sent_at);
        }
        self.core.apply_identity_change(slot, change, now);
    }
}
