use std::collections::BTreeMap;

use lagoon_core::journal::{Head, Segment, StoreRequest, StoreVersion, json_size};

/// Maximum size of a value in bytes. The simulated journals use the same limit.
pub(crate) const VALUE_LIMIT: u64 = 4_096;

/// Store with one head and any number of segments and snapshot parts.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) head: Option<Head>,
    revision: u64,
    // Revision of the last write to the head.
    version: u64,
    pub(crate) values: BTreeMap<String, Segment>,
    pub(crate) snapshots: usize,
    pub(crate) deleted: usize,
}

impl Store {
    /// Applies a request that writes, and returns the new version. Returns `None` on a version conflict.
    pub(crate) fn apply(&mut self, request: &StoreRequest) -> Option<StoreVersion> {
        match request {
            StoreRequest::PutSegment { key, value } => self.put(key, value),
            StoreRequest::PutSnapshot { key, value } => {
                self.snapshots += 1;
                self.put(key, value);
            }
            StoreRequest::SwapHead {
                value,
                expected_version,
                ..
            } => {
                let current = self.version;
                if expected_version.get() != current {
                    return None;
                }
                if let Some(head) = &self.head {
                    let same_owner = head.epoch == value.epoch && head.owner == value.owner;
                    assert!(
                        same_owner || head.epoch < value.epoch,
                        "an older epoch committed"
                    );
                }
                assert!(json_size(&value.tail) <= VALUE_LIMIT);
                self.head = Some(Head::clone(value));
                self.version = self.revision + 1;
            }
            StoreRequest::DeleteKeys { keys } => {
                self.deleted += keys.len();
                keys.iter().for_each(|key| drop(self.values.remove(key)));
            }
            StoreRequest::ReadHead { .. } => unreachable!("a read is not applied"),
        }
        self.revision += 1;
        Some(StoreVersion::new(self.revision))
    }

    pub(crate) fn current(&self) -> Option<(Head, StoreVersion)> {
        let head = self.head.clone()?;
        Some((head, StoreVersion::new(self.version)))
    }

    fn put(&mut self, key: &str, value: &Segment) {
        assert!(json_size(value) <= VALUE_LIMIT, "{key} is too large");
        let previous = self.values.insert(key.to_owned(), value.clone());
        assert!(
            previous.is_none_or(|previous| previous == *value),
            "{key} was changed"
        );
    }
}
