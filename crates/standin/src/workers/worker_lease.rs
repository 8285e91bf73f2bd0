use lagoon_core::id::Sequence;
use lagoon_core::unit::Millis;
use lagoon_platform::worker::{
    Inventory, LeaseOutcome, LeaseRefusal, LeaseRefusalReason, LeaseRequest, LeaseResponse,
    ReleaseRequest,
};
use tokio::time::Instant;

use crate::util::{to_bounded_duration, to_millis};
use crate::workers::held_lease::HeldLease;
use crate::workers::worker_state::WorkerState;

impl WorkerState {
    /// Grants or renews the lease, unless another process holds an unexpired lease or the shard epoch is outdated.
    ///
    /// The epochs of all shards in the request are recorded even if the lease is refused.
    pub(crate) fn grant_lease(&mut self, req: &LeaseRequest, now: Instant) -> LeaseOutcome {
        self.advance(now);
        let current = self.observe_shard_epoch(&req.shard, req.shard_epoch);
        let mut renewed = vec![req.shard.clone()];
        for entry in &req.renew_tasks_of {
            if self.observe_shard_epoch(&entry.shard, entry.shard_epoch) {
                renewed.push(entry.shard.clone());
            }
        }
        if !current {
            return self.lease_refusal(LeaseRefusalReason::LowerShardEpoch, now);
        }
        let valid = self.lease.as_ref();
        if valid.is_some_and(|lease| lease.holder != req.holder) {
            return self.lease_refusal(LeaseRefusalReason::Held, now);
        }
        let renewal = req.known_epoch.is_some();
        if renewal && (valid.is_none() || req.known_epoch != Some(self.epoch)) {
            // A renewal that arrives after the lease has expired must not extend the lease or any task.
            return self.lease_refusal(LeaseRefusalReason::Lapsed, now);
        }
        if !renewal {
            self.epoch = self.epoch.next();
        }
        self.lease = Some(HeldLease {
            holder: req.holder.clone(),
            expires_at: now + to_bounded_duration(req.ttl_ms),
        });
        self.task_ttl = to_bounded_duration(req.task_ttl_ms);
        // A request for a new lease doesn't renew tasks: unlike a renewal, it may be arbitrarily delayed.
        for shard in renewed.into_iter().filter(|_| renewal) {
            self.task_deadlines.insert(shard, now + self.task_ttl);
        }
        LeaseOutcome::Granted(Box::new(LeaseResponse {
            epoch: self.epoch,
            incarnation: self.incarnation,
            rack: self.settings.rack.clone(),
            capacity: self.settings.capacity,
            inventory: self.inventory(req.known_sequence),
            usage: self.usage(now),
        }))
    }

    /// Ends the lease. Returns false if the caller doesn't hold the lease at the given epoch.
    pub(crate) fn release(&mut self, req: &ReleaseRequest, now: Instant) -> bool {
        self.advance(now);
        let held = self.lease.as_ref();
        let held = held.is_some_and(|lease| lease.holder == req.holder) && req.epoch == self.epoch;
        if held {
            self.lease = None;
        }
        held
    }

    fn lease_refusal(&self, reason: LeaseRefusalReason, now: Instant) -> LeaseOutcome {
        let remaining = |lease: &HeldLease| to_millis(lease.expires_at - now);
        LeaseOutcome::Refused(LeaseRefusal {
            reason,
            epoch: self.epoch,
            holder: self.lease.as_ref().map(|lease| lease.holder.clone()),
            remaining_ms: self.lease.as_ref().map_or(Millis::ZERO, remaining),
        })
    }

    fn inventory(&self, known: Sequence) -> Inventory {
        let full = known < self.oldest_delta_sequence || known > self.sequence;
        let changed = self
            .tasks
            .values()
            .filter(|record| full || record.last_change > known);
        let forgotten = match full {
            true => Vec::new(),
            false => self
                .forgotten
                .range(known.next()..)
                .map(|(_, task)| task.clone())
                .collect(),
        };
        Inventory {
            full,
            sequence: self.sequence,
            tasks: changed.map(|record| record.report.clone()).collect(),
            forgotten,
        }
    }
}
