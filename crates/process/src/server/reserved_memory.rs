use std::sync::Arc;

use lagoon_core::unit::Bytes;
use tokio::sync::OwnedSemaphorePermit;

use crate::server::connection::Connection;

/// Part of the memory for requests, given back when it is dropped together with what it was reserved for.
#[derive(Debug)]
pub(super) struct ReservedMemory {
    connection: Arc<Connection>,
    permits: Option<OwnedSemaphorePermit>,
    size: Bytes,
}

impl ReservedMemory {
    /// Creates an empty reservation.
    pub(super) fn new(connection: Arc<Connection>) -> Self {
        Self {
            connection,
            permits: None,
            size: Bytes::ZERO,
        }
    }

    /// Increases the reservation to `size`. Other connections are closed if that is necessary. Returns false if the
    /// memory is used by requests that are being processed.
    pub(super) async fn grow(&mut self, size: Bytes) -> bool {
        let missing = size.saturating_sub(self.size);
        if missing == Bytes::ZERO {
            return true;
        }
        let Some(more) = self.connection.reserve(missing).await else {
            return false;
        };
        match &mut self.permits {
            Some(permits) => permits.merge(more),
            none => *none = Some(more),
        }
        self.size = size;
        true
    }
}

impl Drop for ReservedMemory {
    fn drop(&mut self) {
        if let Some(permits) = self.permits.take() {
            drop(permits);
            self.connection.release(self.size);
        }
    }
}
