use lagoon_core::unit::{Millis, Timestamp};

use crate::dispatch::{Dispatcher, HoldAction, HoldRequest};
use crate::fleet::{Availability, ExecutorSlot};

impl<S> Dispatcher<S> {
    /// Returns what the driver of an executor does next. With `overdue` it sends a hold even if records are not durable yet,
    /// so that leases outlast an outage of the store.
    pub fn next_hold(&mut self, slot: ExecutorSlot, overdue: bool, now: Timestamp) -> HoldAction {
        let all_runs_attributed = self.core.all_runs_attributed(slot);
        let core = &mut self.core;
        let limits = core.limits;
        let executor = core.fleet.get_mut(slot);
        executor.ends.advance(&core.write_queue);
        let is_first = executor.identity.listed_at().is_none();
        let is_doubted = executor.identity.is_doubted();
        let is_empty = !executor.has_runs();
        let is_listed = executor.availability != Availability::Unlisted;
        let has_more =
            !is_first && !executor.has_listed_all && (is_listed || !executor.is_fully_listed(now));
        // An executor that is not in the list is asked only for the runs of earlier owners.
        let may_be_polled = is_listed || executor.is_recorded;
        let awaits_record = executor.ends.awaits_record(&core.write_queue);
        let has_unsent = executor.ends.has_unsent();
        let is_outdated =
            may_be_polled && !executor.is_unresponsive && executor.clock.is_outdated(now);
        // An unresponsive executor gets no starts until it answers.
        let is_probed = executor.is_unresponsive && executor.availability == Availability::Ready;
        let is_due = !is_empty
            || (is_first || is_doubted) && may_be_polled
            || has_more
            || has_unsent
            || is_outdated
            || is_probed;
        if !is_due {
            return match awaits_record || executor.ends.has_deferred() {
                true => HoldAction::AwaitRecord,
                false => HoldAction::Idle,
            };
        }
        // The executor answers at once as long as it has ends to list, so a hold that acknowledges none would be repeated
        // without a pause. A hold to an unresponsive executor may arrive late, at a new incarnation of it.
        let may_ack = all_runs_attributed && !executor.is_unresponsive;
        let has_ack = has_unsent && may_ack;
        let is_blocked = awaits_record || executor.ends.is_listing() && !has_ack;
        if is_blocked && !overdue && !is_first && !is_doubted {
            return HoldAction::AwaitRecord;
        }
        let may_wait = !is_first && !is_doubted && !has_more && !is_empty && !awaits_record;
        // A hold that is not answered may take effect late. Granting a lease with each one would postpone the time at
        // which the runs there are known to have ended without limit.
        let lease_end_ms = match executor.is_unresponsive || !core.ownership.may_renew(&limits, now)
        {
            true => None,
            false => executor.clock.grant(limits.lease, now),
        };
        executor.held_generation = lease_end_ms.map(|_| executor.clock.generation());
        HoldAction::Hold(HoldRequest {
            address: executor.entry.address,
            epoch: core.epoch,
            // A run that is not attributed may belong to a new incarnation, whose ends reuse the sequence numbers of the
            // earlier one. They must not be acknowledged before they are listed.
            acknowledged: match may_ack {
                true => executor.ends.acknowledge(),
                false => 0,
            },
            lease_end_ms,
            wait: if may_wait {
                limits.hold_wait
            } else {
                Millis::ZERO
            },
        })
    }

    /// Records that an executor did not answer a hold. It becomes a suspect, which gets no new runs.
    pub fn hold_failed(&mut self, slot: ExecutorSlot, now: Timestamp) {
        let limits = self.core.limits;
        let executor = self.core.fleet.get_mut(slot);
        if let Some(generation) = executor.held_generation.take() {
            let (delay, max_lease) = (limits.max_request_delay, limits.max_lease);
            executor
                .clock
                .record_unanswered(generation, delay, max_lease, now);
        }
        executor.is_unresponsive = true;
        executor.ends.resend();
        executor.health.mark_suspect(now);
    }
}
