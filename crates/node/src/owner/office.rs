use std::sync::Arc;

use tokio::sync::watch;

use crate::owner::Shard;

/// Holds the shard while this member owns the cell.
#[derive(Debug, Clone)]
pub(crate) struct Office(Arc<watch::Sender<Option<Arc<Shard>>>>);

impl Office {
    pub(crate) fn vacant() -> Self {
        Self(Arc::new(watch::Sender::new(None)))
    }

    pub(crate) fn shard(&self) -> Option<Arc<Shard>> {
        self.0.borrow().clone()
    }

    pub(super) fn set(&self, shard: Option<Arc<Shard>>) {
        self.0.send_replace(shard);
    }
}
