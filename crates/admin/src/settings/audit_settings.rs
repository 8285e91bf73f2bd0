use lagoon_core::unit::Bytes;
use lagoon_process::settings::{Checked, Problems, text};
use serde::Deserialize;

/// Exclusive upper limit of a value's size in the store.
const STORE_VALUE_LIMIT: Bytes = Bytes::new(1_000_000);

/// Limits of the audit trail. All admin processes of a store must use the same values.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AuditSettings {
    /// Maximum size of a segment.
    #[serde(deserialize_with = "text")]
    pub segment_bytes: Bytes,
    /// Maximum number of segments; the oldest ones are deleted.
    pub segments: usize,
}

impl Default for AuditSettings {
    fn default() -> Self {
        Self {
            segment_bytes: Bytes::new(256 << 10),
            segments: 32,
        }
    }
}

impl Checked for AuditSettings {
    fn check(&self, problems: &mut Problems) {
        let size = Bytes::new(1 << 10)..STORE_VALUE_LIMIT;
        let valid = size.contains(&self.segment_bytes);
        problems.require(valid, "segment_bytes", "from 1KiB to less than 1MB");
        problems.require(self.segments >= 2, "segments", "at least 2");
    }
}
