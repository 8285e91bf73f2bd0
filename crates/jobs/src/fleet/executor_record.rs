use std::net::SocketAddr;

use lagoon_core::unit::Resources;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::fleet::ExecutorEntry;
use crate::id::{ExecutorId, ServiceName};

/// Stored record of an executor on which tasks may have been started. The registry entry expires when the executor
/// can't reach the store, while its runs continue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExecutorRecord {
    /// Id of the executor.
    pub id: ExecutorId,
    /// Service whose tasks it runs.
    pub service: ServiceName,
    /// Address on which it serves requests.
    pub address: SocketAddr,
}

impl ExecutorRecord {
    /// Returns an entry for an executor that has none in the registry: it can be asked for its runs, but has no
    /// capacity for new ones.
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
