use lagoon_core::id::Sequence;
use lagoon_core::unit::Millis;
use lagoon_platform::worker::{
    Inventory, LeaseOutcome, LeaseRefusal, LeaseRefusalReason, LeaseRequest, LeaseResponse,
    ReleaseRequest,
};
use tokio::time::Instant;

use crate::util::{bounded, to_millis};
use crate::workers::held_lease::HeldLease;
use crate::workers::worker_state::WorkerState;

impl WorkerState {
    /// Grants or renews the lease, unless another holder's is valid or the shard's epoch is outdated.
    ///
    /// The epochs of all named shards count as seen even if the lease is refused.
    pub(crate) fn grant(&mut self, req: &LeaseRequest, now: Instant) -> LeaseOutcome {
        self.settle(now);
        let current = self.see_shard_epoch(&req.shard, req.shard_epoch);
        let mut renewed = vec![req.shard.clone()];
        for entry in &req.renew_tasks_of {
            if self.see_shard_epoch(&entry.shard, entry.shard_epoch) {
                renewed.push(entry.shard.clone());
            }
        }
        if !current {
            return self.refuse_lease(LeaseRefusalReason::LowerShardEpoch, now);
        }
        let valid = self.lease.as_ref();
        if valid.is_some_and(|lease| lease.holder != req.holder) {
            return self.refuse_lease(LeaseRefusalReason::Held, now);
        }
        let renewal = req.known_epoch.is_some();
        if renewal && (valid.is_none() || req.known_epoch != Some(self.epoch)) {
            // A renewal that arrives late must not extend anything.
            return self.refuse_lease(LeaseRefusalReason::Lapsed, now);
        }
        if !renewal {
            self.epoch = self.epoch.next();
        }
        self.lease = Some(HeldLease {
            holder: req.holder.clone(),
            until: now + bounded(req.ttl_ms),
        });
        self.task_ttl = bounded(req.task_ttl_ms);
        // A request for a new lease renews no tasks, because nobody knows how late it arrives.
        for shard in renewed.into_iter().filter(|_| renewal) {
            self.tasks_until.insert(shard, now + self.task_ttl);
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

    /// Ends the lease; false if the caller doesn't hold it at that epoch.
    pub(crate) fn release(&mut self, req: &ReleaseRequest, now: Instant) -> bool {
        self.settle(now);
        let held = self.lease.as_ref();
        let held = held.is_some_and(|lease| lease.holder == req.holder) && req.epoch == self.epoch;
        if held {
            self.lease = None;
        }
        held
    }

    fn refuse_lease(&self, reason: LeaseRefusalReason, now: Instant) -> LeaseOutcome {
        let remaining = |lease: &HeldLease| to_millis(lease.until - now);
        LeaseOutcome::Refused(LeaseRefusal {
            reason,
            epoch: self.epoch,
            holder: self.lease.as_ref().map(|lease| lease.holder.clone()),
            remaining_ms: self.lease.as_ref().map_or(Millis::ZERO, remaining),
        })
    }

    fn inventory(&self, known: Sequence) -> Inventory {
        let full = known < self.first_sequence || known > self.sequence;
        let changed = self
            .tasks
            .values()
            .filter(|record| full || record.changed > known);
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
