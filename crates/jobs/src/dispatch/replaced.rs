use std::net::SocketAddr;

use lagoon_core::unit::Timestamp;

use crate::dispatch::Dispatcher;
use crate::fleet::{Availability, ExecutorSlot};
use crate::id::TaskKey;

impl<S> Dispatcher<S> {
    /// Records that another executor answered at `address`, where this one used to be. Its runs are lost, and requests to it
    /// that are still in flight are refused there.
    ///
    /// Nothing is dropped if this executor has another address by now, or if it never listed its runs and is not recorded
    /// with this address: it may run work elsewhere.
    pub fn replaced(&mut self, slot: ExecutorSlot, address: SocketAddr, now: Timestamp) {
        self.hold_failed(slot, now);
        let core = &mut self.core;
        let executor = core.fleet.get_mut(slot);
        let is_known = executor.identity.listed_at().is_some() || executor.is_recorded;
        if !is_known || executor.entry.address != address {
            return;
        }
        if !executor.has_listed_all {
            // An executor that is gone is not asked for its runs, and a later owner need not wait for it.
            executor.is_recorded = false;
            executor.has_listed_all = true;
            core.departed.push(executor.entry.id.clone());
        }
        tracing::warn!(
            executor = %executor.entry.id, %address, runs = executor.tasks.len(),
            "dispatch: another executor answers at the address of this one, its runs are lost"
        );
        // Its entry stays in the list for some time; if it runs elsewhere, it writes a new one.
        executor.availability = Availability::Unlisted;
        executor.unexpected_runs.clear();
        executor.ends.drop_unsent();
        let lost: Vec<TaskKey> = executor.tasks.iter().copied().collect();
        core.unreported.remove(&slot);
        core.drop_runs(&lost);
    }
}
