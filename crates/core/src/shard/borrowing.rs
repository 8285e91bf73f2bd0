use smallvec::SmallVec;

use crate::id::{WorkId, WorkerId};
use crate::unit::Resources;

/// A gang job for which capacity is being reserved at other shards. Each shard has at most one.
#[derive(Debug)]
pub(super) struct Borrowing {
    pub(super) work: WorkId,
    /// Resources of each task.
    pub(super) need: Resources,
    /// Own workers with capacity allocated for tasks of the job.
    pub(super) local_workers: SmallVec<[WorkerId; 8]>,
    /// True once the store has recorded the use of the other shards' workers.
    pub(super) recorded: bool,
}
