use smallvec::SmallVec;

use crate::id::WorkerId;
use crate::shard::Shard;
use crate::unit::Resources;
use crate::work::PlacementPolicy;

impl Shard {
    /// Allocates `need` for as many of `count` tasks as fit. Tries a logarithmic number of sizes.
    pub(super) fn place_up_to(
        &mut self,
        count: u32,
        need: &Resources,
        policy: &PlacementPolicy,
    ) -> SmallVec<[WorkerId; 8]> {
        let (mut fits, mut too_many) = (0, count.saturating_add(1));
        while fits + 1 < too_many {
            let size = fits + (too_many - fits) / 2;
            match self.fleet.place_gang(size, need, policy) {
                Some(workers) => {
                    self.release_all(&workers, *need);
                    fits = size;
                }
                None => too_many = size,
            }
        }
        let placed = self.fleet.place_gang(fits, need, policy);
        placed.unwrap_or_default()
    }

    /// Releases the capacity allocated for tasks that are not started.
    pub(super) fn release_all(&mut self, workers: &[WorkerId], need: Resources) {
        for worker in workers {
            self.fleet.release(worker, need);
        }
    }
}
