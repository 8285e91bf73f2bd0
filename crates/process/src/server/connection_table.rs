use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use lagoon_core::unit::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::time::Instant;

use crate::Metrics;
use crate::server::close_log::CloseLog;
use crate::server::close_reason::CloseReason;
use crate::server::connection_entry::ConnectionEntry;
use crate::server::connection_id::ConnectionId;
use crate::server::connection_shard::{ClosingOrder, ConnectionShard};
use crate::server::standing::Standing;

const SHARDS: usize = 16;
/// Unit in which memory is reserved.
const MEMORY_UNIT: Bytes = Bytes::new(1 << 10);

/// Open connections of a server and the memory of their requests.
///
/// When the memory or the number of connections reaches its limit, the connection whose client has kept the server
/// waiting longest is closed. An ordinary request is complete within a round trip, so it is never the oldest for long.
#[derive(Debug)]
pub(super) struct ConnectionTable {
    shards: [Mutex<ConnectionShard>; SHARDS],
    next_id: AtomicU64,
    open: AtomicU64,
    /// Memory for requests, with one permit for each [`MEMORY_UNIT`].
    memory: Arc<Semaphore>,
    memory_limit: Bytes,
    metrics: Metrics,
    log: CloseLog,
}

impl ConnectionTable {
    pub(super) fn new(request_memory: Bytes, metrics: Metrics) -> Self {
        Self {
            shards: std::array::from_fn(|_| Mutex::default()),
            next_id: AtomicU64::new(0),
            open: AtomicU64::new(0),
            memory: Arc::new(Semaphore::new(permits(request_memory) as usize)),
            memory_limit: request_memory,
            log: CloseLog::new(metrics.clone()),
            metrics,
        }
    }

    /// Adds a connection, which ends when the returned receiver receives a reason.
    pub(super) fn insert(&self) -> (ConnectionId, oneshot::Receiver<CloseReason>) {
        let id = ConnectionId::new(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (close, closed) = oneshot::channel();
        let entry = ConnectionEntry::new(Instant::now(), close);
        self.lock(id).insert(id, entry);
        let open = self.open.fetch_add(1, Ordering::AcqRel) + 1;
        self.metrics.gauge("connections.open", open);
        (id, closed)
    }

    /// Removes a connection.
    pub(super) fn remove(&self, id: ConnectionId) -> Option<ConnectionEntry> {
        let entry = self.lock(id).remove(id)?;
        let open = self.open.fetch_sub(1, Ordering::AcqRel) - 1;
        self.metrics.gauge("connections.open", open);
        Some(entry)
    }

    /// Changes a connection with `change`, unless it has been closed.
    pub(super) fn update(&self, id: ConnectionId, change: impl FnOnce(&mut ConnectionEntry)) {
        self.lock(id).update(id, change);
    }

    /// Reserves memory for the request of a connection. If too little is free, closes other connections and waits until
    /// their memory is given back. Returns `None` if the memory is used by requests that are being processed.
    pub(super) async fn reserve(
        &self,
        id: ConnectionId,
        amount: Bytes,
    ) -> Option<OwnedSemaphorePermit> {
        let count = permits(amount);
        let reserved = match self.memory.clone().try_acquire_many_owned(count) {
            Ok(reserved) => reserved,
            Err(_) if self.close_holders(id, amount) => {
                self.memory.clone().acquire_many_owned(count).await.ok()?
            }
            Err(_) => return None,
        };
        self.update(id, |entry| {
            entry.reserved = entry.reserved.saturating_add(amount);
        });
        self.publish_reserved();
        Some(reserved)
    }

    /// Records that memory of a connection is about to be given back.
    pub(super) fn release(&self, id: ConnectionId, amount: Bytes) {
        self.update(id, |entry| {
            entry.reserved = entry.reserved.saturating_sub(amount);
        });
        self.publish_reserved();
    }

    /// Closes the connection that has kept the server waiting longest, within the larger group by standing. Returns
    /// false if the server waits for no client.
    pub(super) fn make_room(&self) -> bool {
        while let Some(id) = self.oldest_of_larger_group() {
            if self.close(id, CloseReason::ConnectionLimit).is_some() {
                return true;
            }
        }
        false
    }

    /// Returns the log of closed connections.
    pub(super) fn log(&self) -> &CloseLog {
        &self.log
    }

    /// Closes the connections that have held memory longest until `amount` is given back to `requester`. Returns false if
    /// the others hold less, or if the requester is the oldest and has to give way itself.
    fn close_holders(&self, requester: ConnectionId, amount: Bytes) -> bool {
        let mut freed = Bytes::ZERO;
        while freed < amount {
            let oldest = self.oldest(ConnectionShard::holding).0;
            let Some(id) = oldest.filter(|id| *id != requester) else {
                return false;
            };
            if let Some(reserved) = self.close(id, CloseReason::RequestMemory) {
                freed = freed.saturating_add(reserved);
            }
        }
        true
    }

    /// Closes a connection and returns its reserved memory, unless another thread has closed it meanwhile.
    fn close(&self, id: ConnectionId, reason: CloseReason) -> Option<Bytes> {
        let entry = self.remove(id)?;
        self.log.record(reason);
        // The task of the connection may have ended already.
        let _ = entry.close.send(reason);
        Some(entry.reserved)
    }

    fn oldest_of_larger_group(&self) -> Option<ConnectionId> {
        let (new, new_count) = self.oldest(|shard| shard.waiting(Standing::New));
        let (served, served_count) = self.oldest(|shard| shard.waiting(Standing::Served));
        if new_count >= served_count {
            new
        } else {
            served
        }
    }

    /// Returns the oldest connection of an order over all shards, and the number of connections in it.
    fn oldest(
        &self,
        order: impl Fn(&ConnectionShard) -> &ClosingOrder,
    ) -> (Option<ConnectionId>, usize) {
        let mut oldest = None;
        let mut count = 0;
        for shard in &self.shards {
            let shard = lock(shard);
            let order = order(&shard);
            count += order.len();
            oldest = match (oldest, order.first().copied()) {
                (Some(a), Some(b)) => Some(std::cmp::min(a, b)),
                (a, b) => a.or(b),
            };
        }
        (oldest.map(|(_, id)| id), count)
    }

    fn publish_reserved(&self) {
        let free = self.memory.available_permits() as u64 * MEMORY_UNIT.get();
        let reserved = self.memory_limit.get().saturating_sub(free);
        self.metrics.gauge("connections.request_bytes", reserved);
    }

    fn lock(&self, id: ConnectionId) -> MutexGuard<'_, ConnectionShard> {
        lock(&self.shards[id.shard(SHARDS)])
    }
}

/// Returns the number of permits for an amount of memory.
fn permits(amount: Bytes) -> u32 {
    let units = amount.get().div_ceil(MEMORY_UNIT.get());
    u32::try_from(units).unwrap_or(u32::MAX)
}

fn lock(shard: &Mutex<ConnectionShard>) -> MutexGuard<'_, ConnectionShard> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}
