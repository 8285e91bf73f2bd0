use std::net::SocketAddr;

use lagoon_core::unit::Timestamp;

use crate::dispatch::Dispatcher;
use crate::fleet::{Availability, ExecutorSlot};

impl<S> Dispatcher<S> {
    /// Notes that another executor answered at `address`, where this one took orders. Its runs are gone, and orders to
    /// it that are still under way are refused there.
    ///
    /// One that has another address by now may run work there, and so may one that was never heard, unless it is recorded
    /// with this address. Nothing of these is dropped.
    pub fn replaced(&mut self, slot: ExecutorSlot, address: SocketAddr, now: Timestamp) {
        self.hold_failed(slot, now);
        let core = &mut self.core;
        let executor = core.fleet.get_mut(slot);
        let is_known = executor.heard.is_some() || executor.is_recorded;
        if !is_known || executor.entry.address != address {
            return;
        }
        if !executor.has_listed_all {
            // Of one that is gone nothing is asked, and a later owner need not wait for it.
            executor.is_recorded = false;
            executor.has_listed_all = true;
            core.departed.push(executor.entry.id.clone());
        }
        tracing::warn!(
            executor = %executor.entry.id, %address, runs = executor.tasks.len(),
            "dispatch: another executor has the address, runs are gone"
        );
        // Its entry stays listed for a while; if it lives elsewhere, it writes a new one.
        executor.availability = Availability::Unlisted;
        executor.strays.clear();
        core.unreported.remove(&slot);
        core.drop_runs(slot);
    }
}
