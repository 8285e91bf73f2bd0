use std::collections::{BTreeSet, HashMap};

use lagoon_core::unit::Bytes;
use tokio::time::Instant;

use crate::server::connection_entry::ConnectionEntry;
use crate::server::connection_id::ConnectionId;
use crate::server::standing::Standing;

/// Connections in the order in which they are closed.
pub(super) type ClosingOrder = BTreeSet<(Instant, ConnectionId)>;

/// Part of the connections of a server.
#[derive(Debug, Default)]
pub(super) struct ConnectionShard {
    entries: HashMap<ConnectionId, ConnectionEntry>,
    /// Connections without a served request for whose clients the server waits.
    new: ClosingOrder,
    /// Connections with a served request for whose clients the server waits.
    served: ClosingOrder,
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

    /// Returns the connections of a standing that may be closed.
    pub(super) fn waiting(&self, standing: Standing) -> &ClosingOrder {
        match standing {
            Standing::New => &self.new,
            Standing::Served => &self.served,
        }
    }

    /// Returns the connections that may be closed to free memory.
    pub(super) fn holding(&self) -> &ClosingOrder {
        &self.holding
    }

    fn link(&mut self, id: ConnectionId, entry: &ConnectionEntry) {
        if !entry.waits_for_client {
            return;
        }
        let order = match entry.standing {
            Standing::New => &mut self.new,
            Standing::Served => &mut self.served,
        };
        order.insert((entry.since, id));
        if entry.reserved > Bytes::ZERO {
            self.holding.insert((entry.since, id));
        }
    }

    fn unlink(&mut self, id: ConnectionId, entry: &ConnectionEntry) {
        let key = (entry.since, id);
        self.new.remove(&key);
        self.served.remove(&key);
        self.holding.remove(&key);
    }
}
