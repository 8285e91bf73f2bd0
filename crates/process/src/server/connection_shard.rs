use std::collections::{BTreeSet, HashMap};

use lagoon_core::unit::Bytes;
use tokio::time::Instant;

use crate::server::connection_entry::ConnectionEntry;
use crate::server::connection_id::ConnectionId;

/// Connections in the order in which they are closed.
pub(super) type ClosingOrder = BTreeSet<(Instant, ConnectionId)>;

/// Part of the connections of a server.
#[derive(Debug, Default)]
pub(super) struct ConnectionShard {
    entries: HashMap<ConnectionId, ConnectionEntry>,
    /// Connections with reserved memory for whose clients the server waits.
    holding: ClosingOrder,
}

impl ConnectionShard {
    pub(super) fn insert(&mut self, id: ConnectionId, entry: ConnectionEntry) {
        self.link(id, &entry);
        self.entries.insert(id, entry);
    }

    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<ConnectionEntry> {
        let entry = self.entries.remove(&id)?;
        self.unlink(id, &entry);
        Some(entry)
    }

    /// Changes a connection with `change`, unless it has been closed.
    pub(super) fn update(&mut self, id: ConnectionId, change: impl FnOnce(&mut ConnectionEntry)) {
        if let Some(mut entry) = self.remove(id) {
            change(&mut entry);
            self.insert(id, entry);
        }
    }

    /// Returns the connections that may be closed to free memory.
    pub(super) fn holding(&self) -> &ClosingOrder {
        &self.holding
    }

    fn link(&mut self, id: ConnectionId, entry: &ConnectionEntry) {
        if entry.waits_for_client && entry.reserved > Bytes::ZERO {
            self.holding.insert((entry.since, id));
        }
    }

    fn unlink(&mut self, id: ConnectionId, entry: &ConnectionEntry) {
        self.holding.remove(&(entry.since, id));
    }
}
