use std::net::SocketAddr;

use lagoon_core::unit::Timestamp;

use crate::dispatch::{Dispatcher, Serving};
use crate::fleet::{Availability, ExecutorSlot};

impl Dispatcher<Serving> {
    /// Notes that another executor answered at `address`, where this one took orders. Its runs are gone, and orders to
    /// it that are still under way are refused there.
    ///
    /// An executor that was never heard, or that has another address by now, may run work of an earlier owner elsewhere,
    /// so that nothing of it is dropped.
    pub fn replaced(&mut self, slot: ExecutorSlot, address: SocketAddr, now: Timestamp) {
        self.hold_failed(slot, now);
        let core = &mut self.core;
        let executor = core.fleet.get_mut(slot);
        if executor.heard.is_none() || executor.entry.address != address {
            return;
        }
        tracing::warn!(
            executor = %executor.entry.id, %address, runs = executor.tasks.len(),
            "dispatch: another executor has the address, runs are gone"
        );
        // Its entry stays listed for a while; if it lives elsewhere, it writes a new one.
        executor.availability = Availability::Unlisted;
        core.drop_runs(slot);
    }
}
