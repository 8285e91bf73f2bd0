//! Correction of declared sizes by observed use.

use crate::id::WorkerId;
use crate::placement::Fleet;
use crate::unit::Resources;

impl Fleet {
    /// Records the worker's use, without knowledge of the tasks that it includes: free capacity is the capacity less
    /// the larger of the claims and the use.
    pub fn observe_usage(&mut self, id: &WorkerId, used: Resources) -> bool {
        self.observe_covered_usage(id, used, Resources::ZERO)
    }

    /// Records the use of the tasks whose declared sizes add up to `covered`. Later claims count in full on top of it.
    pub fn observe_covered_usage(
        &mut self,
        id: &WorkerId,
        used: Resources,
        covered: Resources,
    ) -> bool {
        self.change(id, |worker| {
            worker.observed = used;
            worker.covered = covered;
        })
    }
}
