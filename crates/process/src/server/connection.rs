use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use lagoon_core::unit::Bytes;
use tokio::sync::{OwnedSemaphorePermit, oneshot};
use tokio::time::Instant;

use crate::server::close_reason::CloseReason;
use crate::server::connection_id::ConnectionId;
use crate::server::connection_table::ConnectionTable;
use crate::server::standing::Standing;

/// Open connection. Dropping the last handle removes it from the table.
#[derive(Debug)]
pub(super) struct Connection {
    id: ConnectionId,
    table: Arc<ConnectionTable>,
    /// Whether the next bytes belong to the head of a request, not to a body.
    reads_head: AtomicBool,
    ended_heads: AtomicU64,
}

impl Connection {
    /// Adds a connection to the table. It must end when the receiver receives a reason.
    pub(super) fn open(table: Arc<ConnectionTable>) -> (Arc<Self>, oneshot::Receiver<CloseReason>) {
        let (id, closed) = table.insert();
        let connection = Self {
            id,
            table,
            reads_head: AtomicBool::new(true),
            ended_heads: AtomicU64::new(0),
        };
        (Arc::new(connection), closed)
    }

    /// Returns true until the head of the current request has arrived completely.
    pub(super) fn reads_head(&self) -> bool {
        self.reads_head.load(Ordering::Acquire)
    }

    /// Records that the first bytes of a request have arrived.
    pub(super) fn begin_request(&self) {
        self.table
            .update(self.id, |entry| entry.since = Instant::now());
    }

    /// Records that the head of a request has arrived completely.
    pub(super) fn end_head(&self) {
        self.ended_heads.fetch_add(1, Ordering::AcqRel);
        self.reads_head.store(false, Ordering::Release);
    }

    /// Returns the number of heads that have arrived completely.
    pub(super) fn ended_heads(&self) -> u64 {
        self.ended_heads.load(Ordering::Acquire)
    }

    /// Records whether the server waits for the client, from now on.
    pub(super) fn set_waits_for_client(&self, waits: bool) {
        self.table
            .update(self.id, |entry| entry.waits_for_client = waits);
    }

    /// Records that the response to a request has been written, or that the request has been abandoned.
    pub(super) fn end_request(&self, standing: Standing) {
        self.reads_head.store(true, Ordering::Release);
        self.table.update(self.id, |entry| {
            entry.waits_for_client = true;
            entry.since = Instant::now();
            if standing == Standing::Served {
                entry.standing = Standing::Served;
            }
        });
    }

    /// Reserves memory for the current request; see [`ConnectionTable::reserve`].
    pub(super) async fn reserve(&self, amount: Bytes) -> Option<OwnedSemaphorePermit> {
        self.table.reserve(self.id, amount).await
    }

    /// Records that reserved memory is about to be given back.
    pub(super) fn release(&self, amount: Bytes) {
        self.table.release(self.id, amount);
    }

    /// Records why the connection is about to be closed.
    pub(super) fn record_close(&self, reason: CloseReason) {
        self.table.log().record(reason);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // A connection that was closed to make room is no longer in the table.
        self.table.remove(self.id);
    }
}
