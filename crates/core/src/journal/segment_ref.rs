use serde::{Deserialize, Serialize};

use crate::id::{Epoch, Sequence};

/// Reference from the head to a segment or snapshot. Its parts have consecutive sequence numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentRef {
    /// Epoch of the owner that wrote it.
    pub epoch: Epoch,
    /// Sequence number of the first part.
    pub sequence: Sequence,
    /// Number of parts.
    pub parts: u32,
}

impl SegmentRef {
    pub(super) fn sequences(&self) -> impl Iterator<Item = Sequence> + use<> {
        let first = self.sequence.get();
        (first..first + u64::from(self.parts)).map(Sequence::new)
    }
}
