use lagoon_platform::store::Precondition;

use crate::audit::Segment;

/// A prepared write of a segment.
#[derive(Debug)]
pub(super) struct SegmentWrite {
    pub(super) number: u64,
    pub(super) segment: Segment,
    pub(super) value: String,
    pub(super) precondition: Precondition,
    /// Number of new records in the segment.
    pub(super) record_count: usize,
}
