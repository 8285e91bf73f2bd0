use std::sync::Arc;

use lagoon_core::unit::Timestamp;
use lagoon_jobs::id::JobId;
use lagoon_jobs::job::JobRecord;
use tokio::sync::watch;

use crate::owner::Shard;

/// Shared handle to the owner's shard; empty while another member owns the cell.
#[derive(Debug, Clone)]
pub(crate) struct ShardHandle(Arc<watch::Sender<Option<Arc<Shard>>>>);

impl ShardHandle {
    pub(crate) fn empty() -> Self {
        Self(Arc::new(watch::Sender::new(None)))
    }

    pub(crate) fn shard(&self) -> Option<Arc<Shard>> {
        self.0.borrow().clone()
    }

    /// Passes a newly stored job to the dispatcher if this member owns the cell. The watch of the store reports it too.
    pub(crate) fn notify(&self, id: JobId, record: &[u8], now: Timestamp) {
        let Some(shard) = self.shard() else {
            return;
        };
        match serde_json::from_slice::<JobRecord>(record) {
            Ok(record) => shard.change(|dispatcher| dispatcher.submit(id, record, now)),
            Err(e) => {
                tracing::error!(job = %id, "owner: job in a notification is malformed, it is ignored: {e}")
            }
        }
    }

    pub(super) fn set(&self, shard: Option<Arc<Shard>>) {
        self.0.send_replace(shard);
    }
}
