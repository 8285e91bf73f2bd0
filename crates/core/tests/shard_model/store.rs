use std::collections::HashMap;
use std::sync::Arc;

use lagoon_core::journal::{Head, Segment, StoreRequest, StoreVersion};
use lagoon_core::shard::StoreResponse;

/// A store with compare-and-swap that holds the keys of one shard.
#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) down: bool,
    head: Option<(Arc<Head>, StoreVersion)>,
    segments: HashMap<String, Arc<Segment>>,
    version: u64,
}

impl Store {
    pub(crate) fn head(&self) -> Option<(Head, StoreVersion)> {
        self.head
            .as_ref()
            .map(|(head, version)| (Head::clone(head), *version))
    }

    pub(crate) fn segment(&self, key: &str) -> Arc<Segment> {
        self.segments
            .get(key)
            .cloned()
            .unwrap_or_else(|| panic!("{key} is missing"))
    }

    /// Performs a request. Returns `None` while the store is down.
    pub(crate) fn perform(&mut self, write: &StoreRequest) -> Option<StoreResponse> {
        if self.down {
            return None;
        }
        Some(match write {
            StoreRequest::PutSegment { key, value } | StoreRequest::PutSnapshot { key, value } => {
                self.segments.insert(key.clone(), value.clone());
                StoreResponse::Written(self.next())
            }
            StoreRequest::SwapHead {
                value,
                expected_version,
                ..
            } => {
                let current = self
                    .head
                    .as_ref()
                    .map_or(StoreVersion::new(0), |(_, version)| *version);
                if current != *expected_version {
                    return Some(StoreResponse::Conflict(current));
                }
                let version = self.next();
                self.head = Some((value.clone(), version));
                StoreResponse::Written(version)
            }
            StoreRequest::ReadHead { .. } => StoreResponse::Head(self.head().map(Box::new)),
            StoreRequest::DeleteKeys { keys } => {
                for key in keys {
                    self.segments.remove(key);
                }
                StoreResponse::Written(self.next())
            }
        })
    }

    fn next(&mut self) -> StoreVersion {
        self.version += 1;
        StoreVersion::new(self.version)
    }
}
