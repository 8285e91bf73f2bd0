use lagoon_platform::store::Precondition;

use crate::audit::Segment;

/// The next write of the trail.
#[derive(Debug)]
pub(super) struct SegmentWrite {
    pub(super) number: u64,
    pub(super) segment: Segment,
    pub(super) value: String,
    pub(super) expect: Precondition,
    /// Number of new records in it.
    pub(super) taken: usize,
}
