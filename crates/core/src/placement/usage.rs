//! Observed usage of workers, which corrects the declared sizes.

use crate::id::WorkerId;
use crate::placement::Fleet;
use crate::unit::Resources;

impl Fleet {
    /// Records a worker's usage when the tasks that it covers are not known. Free resources are then the capacity less
    /// the larger of allocations and usage. Returns true if the worker is known.
    pub fn observe_usage(&mut self, id: &WorkerId, used: Resources) -> bool {
        self.observe_covered_usage(id, used, Resources::ZERO)
    }

    /// Records the usage of the tasks whose declared sizes add up to `covered`. Later allocations count in full on top
    /// of it. Returns true if the worker is known.
    pub fn observe_covered_usage(
        &mut self,
        id: &WorkerId,
        used: Resources,
        covered: Resources,
    ) -> bool {
        self.update_worker(id, |worker| {
            worker.observed = used;
            worker.covered = covered;
        })
    }
}
