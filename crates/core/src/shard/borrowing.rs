use smallvec::SmallVec;

use crate::id::{WorkId, WorkerId};
use crate::unit::Resources;

/// A gang job for which members are being reserved at other shards. One at a time in each shard.
#[derive(Debug)]
pub(super) struct Borrowing {
    pub(super) work: WorkId,
    /// What each member takes.
    pub(super) need: Resources,
    /// Own workers that are claimed for members.
    pub(super) local_workers: SmallVec<[WorkerId; 8]>,
    /// True once the store holds the use of the other shards' workers.
    pub(super) recorded: bool,
}
