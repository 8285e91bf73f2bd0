use std::net::SocketAddr;

use lagoon_core::unit::Resources;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::fleet::ExecutorEntry;
use crate::id::{ExecutorId, ServiceName};

/// What the store holds of an executor on which tasks may have been started. Its own entry vanishes when it can't reach
/// the store, while its runs go on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExecutorRecord {
    /// Its id.
    pub id: ExecutorId,
    /// Service whose tasks it runs.
    pub service: ServiceName,
    /// Where it takes orders.
    pub address: SocketAddr,
}

impl ExecutorRecord {
    /// Describes an executor that is not listed: where to ask for its runs, and no room for new ones.
    pub(crate) fn into_entry(self) -> ExecutorEntry {
        ExecutorEntry {
            id: self.id,
            service: self.service,
            address: self.address,
            labels: SmallVec::new(),
            rack: None,
            capacity: Resources::ZERO,
            draining: true,
            incarnation: None,
        }
    }
}

impl From<&ExecutorEntry> for ExecutorRecord {
    fn from(entry: &ExecutorEntry) -> Self {
        Self {
            id: entry.id.clone(),
            service: entry.service.clone(),
            address: entry.address,
        }
    }
}
