//! Journal entries for the workers that the shard uses.

use crate::code::ResultCode;
use crate::id::WorkerId;
use crate::journal::JournalEntry;
use crate::shard::commit::PendingEntry;
use crate::shard::worker_assignment::WorkerAssignment;
use crate::shard::{Effect, Shard};
use crate::unit::Timestamp;

impl Shard {
    /// Records that the shard uses the worker, so that a successor fences it before it starts inherited work again.
    pub(super) fn record_worker(&mut self, worker: &WorkerId, now: Timestamp) {
        let used = self.journal.state().workers().get(worker);
        let Some(worker_record) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(incarnation) = worker_record.incarnation else {
            return;
        };
        worker_record.recorded = used.is_some_and(|used| used.incarnation == incarnation);
        if worker_record.recorded || worker_record.assignment != WorkerAssignment::Home {
            return;
        }
        // The journal must show a successor that the worker lost inherited tasks until this owner has resolved that
        // work.
        if used.is_some() && !self.unfenced.is_empty() {
            return;
        }
        let entry = JournalEntry::WorkerUsed {
            worker: worker.clone(),
            host: worker_record.host.clone(),
            address: worker_record.address.clone(),
            incarnation,
        };
        let appended = self.journal.append(entry);
        if let Some(position) = self.halt_on_error(ResultCode::EpochInvariant, appended) {
            let pending = PendingEntry::Worker {
                worker: worker.clone(),
                at: now,
            };
            self.uncommitted.push_back((position, pending));
            self.effects.push(Effect::Commit);
        }
    }

    /// Records workers that restarted before all workers of earlier owners had responded.
    pub(super) fn record_workers(&mut self, now: Timestamp) {
        let workers = self
            .workers
            .values()
            .filter(|worker_record| !worker_record.recorded);
        let workers: Vec<WorkerId> = workers
            .map(|worker_record| worker_record.worker.clone())
            .collect();
        for worker in workers {
            self.record_worker(&worker, now);
        }
    }

    /// Records that no task of this shard can run on a worker any more, so that a successor need not fence it.
    pub(super) fn record_worker_released(&mut self, worker: &WorkerId) {
        if !self.journal.state().workers().contains_key(worker)
            || self.unfenced.contains_key(worker)
        {
            return;
        }
        let entry = JournalEntry::WorkerReleased {
            worker: worker.clone(),
        };
        let appended = self.journal.append(entry);
        if let Some(position) = self.halt_on_error(ResultCode::EpochInvariant, appended) {
            self.uncommitted.push_back((position, PendingEntry::Other));
            self.effects.push(Effect::Commit);
        }
    }
}
