//! Gang jobs that do not fit on the shard's own workers.
//!
//! The daemon reserves capacity for the missing tasks shard by shard, in ascending order, and starts either all tasks
//! or none. The use of the other shards' workers is recorded in the journal before the first commit, so that a
//! successor finds the started tasks. Jobs with rack constraints are not split between shards, because no shard sees
//! all racks.

use crate::code::ResultCode;
use crate::id::{Attempt, TaskId, TaskIndex, WorkId};
use crate::journal::JournalEntry;
use crate::order::QueueEntry;
use crate::placement::Fleet;
use crate::shard::after_stop::AfterStop;
use crate::shard::borrowing::Borrowing;
use crate::shard::commit::PendingEntry;
use crate::shard::task_placement::TaskPlacement;
use crate::shard::{BorrowPlan, Effect, ReservedPlacement, Shard, ShardPhase, WorkerSpec};
use crate::unit::{Millis, Timestamp};
use crate::work::{Spread, WorkKind, WorkSpec, WorkState};

/// Delay after a failed attempt, so that reservations do not withhold capacity from other work all the time.
const RETRY_BACKOFF: Millis = Millis::new(1_000);
/// Additional delay per shard number, so that two borrowers that took capacity from each other do not collide again.
const BACKOFF_STEP: Millis = Millis::new(170);
const BACKOFF_STEPS: u16 = 8;
/// Bound on the queue of jobs that are retried periodically without a sign that they fit.
const MAX_BORROW_QUEUE: usize = 64;

impl Shard {
    /// Sets the workers of the whole failure domain, used to decide whether a gang job could ever fit there.
    pub fn set_domain_workers(&mut self, workers: &[WorkerSpec]) {
        self.domain_fleet = Fleet::new();
        for spec in workers {
            self.domain_fleet
                .upsert_worker(spec.worker.clone(), spec.rack.clone(), spec.capacity);
        }
    }

    /// Returns true if a gang job may be split between shards and the failure domain could hold it.
    pub(super) fn could_borrow(&self, spec: &WorkSpec) -> bool {
        let placement = &spec.placement;
        let plain = placement.spread == Spread::Pack && placement.racks.is_empty();
        let holds = || {
            self.domain_fleet
                .can_ever_fit(spec.task_count, &spec.resources, placement)
        };
        spec.kind == WorkKind::Gang && plain && holds()
    }

    /// Returns true if a job can only start with tasks at other shards. A job that fits on the shard's own workers
    /// waits until they are held for it. No workers are held for the other jobs, because two of them could hold each
    /// other's workers forever.
    pub(super) fn needs_other_shards(&self, work: &WorkId) -> bool {
        let record = self.records.get(work);
        record.is_some_and(|record| {
            let spec = &record.spec;
            let alone = self
                .fleet
                .can_ever_fit(spec.task_count, &spec.resources, &spec.placement);
            !alone && self.could_borrow(spec)
        })
    }

    /// Requests reservations for a job that needs other shards, or queues it if borrowing is not possible now.
    pub(super) fn request_borrowing(&mut self, entry: &QueueEntry, now: Timestamp) {
        let work = &entry.work;
        if self.borrowing.is_some()
            || now < self.borrow_after
            || self.phase() != ShardPhase::Serving
        {
            self.queue_for_borrowing(work);
            return;
        }
        let Some(record) = self.records.get(work) else {
            return;
        };
        self.borrowing = Some(Borrowing {
            work: work.clone(),
            need: record.spec.resources,
            local_workers: Default::default(),
            recorded: false,
        });
        let work = work.clone();
        self.effects.push(Effect::Borrow { work });
    }

    /// Retries the next job that waits for other shards. No event signals free capacity there, hence the periodic
    /// retry.
    pub(super) fn retry_borrowing(&mut self, now: Timestamp) {
        if self.borrowing.is_none()
            && now >= self.borrow_after
            && let Some(work) = self.borrow_queue.pop_front()
        {
            self.tasks.retry_work(&work);
        }
    }

    fn queue_for_borrowing(&mut self, work: &WorkId) {
        if self.borrow_queue.len() < MAX_BORROW_QUEUE && !self.borrow_queue.contains(work) {
            self.borrow_queue.push_back(work.clone());
        }
    }

    fn back_off(&mut self, work: &WorkId, now: Timestamp) {
        let step = u64::from(self.config.shard.number().get() % BACKOFF_STEPS);
        let wait = Millis::new(RETRY_BACKOFF.get() + step * BACKOFF_STEP.get());
        self.borrow_after = now.after(wait);
        self.queue_for_borrowing(work);
    }

    /// Removes the job from its queue and allocates own workers for as many tasks as fit. Returns `None` if the job no
    /// longer waits.
    pub fn begin_borrowing(&mut self, work: &WorkId, now: Timestamp) -> Option<BorrowPlan> {
        let waits = |state: &WorkState| *state == WorkState::Waiting;
        let record = self.records.get(work).filter(|record| waits(&record.state));
        let Some(spec) = record.map(|record| record.spec.clone()) else {
            self.end_borrowing(work, now);
            return None;
        };
        self.queue_of(work).remove(work);
        if let Some(record) = self.records.get_mut(work) {
            record.reason = "reserving hosts of other shards".to_owned();
        }
        // One task fewer than the job has: a job that fits here by now is placed when it reaches the head of its queue.
        let max_count = spec.task_count.saturating_sub(1);
        let local_workers = self.place_up_to(max_count, &spec.resources, &spec.placement);
        let missing = spec.task_count - u32::try_from(local_workers.len()).unwrap_or(max_count);
        if let Some(borrowing) = &mut self.borrowing {
            borrowing.local_workers = local_workers;
        }
        Some(BorrowPlan { spec, missing })
    }

    /// Gives up before any reservation was committed; the job returns to its queue.
    pub fn end_borrowing(&mut self, work: &WorkId, now: Timestamp) {
        let Some(borrowing) = self.borrowing.take_if(|borrowing| borrowing.work == *work) else {
            return;
        };
        self.release_all(&borrowing.local_workers, borrowing.need);
        self.back_off(work, now);
        let record = self.records.get_mut(work);
        let record =
            record.filter(|record| record.placements.is_empty() && record.ending.is_none());
        if let Some(record) = record {
            let held = record.state == WorkState::Held;
            record.reason = "no host has enough free capacity now".to_owned();
            let entry = record.queue_entry();
            let queue = self.queue_of(work);
            queue.remove(work);
            queue.push(entry);
            if held {
                queue.hold(work);
            }
        }
        self.schedule(now);
    }

    /// Places all tasks and records the use of the other shards' workers. Returns the task ids, those of `reserved`
    /// last and in the same order, or `None` if the job must not start any more.
    pub fn record_borrowing(
        &mut self,
        work: &WorkId,
        reserved: &[ReservedPlacement],
        now: Timestamp,
    ) -> Option<Vec<TaskId>> {
        if self.phase() != ShardPhase::Serving {
            return None;
        }
        let local_workers = self
            .borrowing
            .as_mut()
            .filter(|borrowing| borrowing.work == *work)?;
        let local_workers = std::mem::take(&mut local_workers.local_workers);
        let epoch = self.epoch;
        let record = self.records.get_mut(work);
        let record = record.filter(|record| {
            let count = record.spec.task_count as usize;
            record.state == WorkState::Waiting && count == local_workers.len() + reserved.len()
        });
        let Some(record) = record else {
            if let Some(borrowing) = &mut self.borrowing {
                borrowing.local_workers = local_workers;
            }
            return None;
        };
        record.state = WorkState::Starting;
        record.charged = true;
        record.attempts += 1;
        record.placed_at = Some(now);
        let attempt = Attempt::new(epoch, record.attempts);
        let spec = record.spec.clone();
        let own = local_workers.iter().map(|worker| {
            let worker_record = self.workers.get(worker);
            (
                worker,
                worker_record.and_then(|worker_record| worker_record.incarnation),
            )
        });
        let others = reserved
            .iter()
            .map(|placement| (&placement.worker, Some(placement.incarnation)));
        record.placements = own
            .chain(others)
            .zip(0..)
            .map(|((worker, incarnation), n)| {
                TaskPlacement::starting(TaskIndex::new(n), worker.clone(), attempt, incarnation)
            })
            .collect();
        let tasks: Vec<TaskId> = record
            .placements
            .iter()
            .map(|placement| placement.task(work))
            .collect();
        let entry = record.queue_entry();
        self.tasks.charge(entry.kind, &entry.team, entry.need);
        for (worker, task) in local_workers.iter().zip(&tasks) {
            if let Some(worker_record) = self.workers.get_mut(worker) {
                worker_record
                    .allocations
                    .insert(task.clone(), spec.resources);
            }
        }
        self.record_lent(reserved);
        Some(tasks)
    }

    fn record_lent(&mut self, reserved: &[ReservedPlacement]) {
        for placement in reserved {
            let used = self.journal.state().workers().get(&placement.worker);
            if used.is_some_and(|used| used.incarnation == placement.incarnation) {
                continue;
            }
            let entry = JournalEntry::WorkerUsed {
                worker: placement.worker.clone(),
                host: placement.host.clone(),
                address: placement.address.clone(),
                incarnation: placement.incarnation,
            };
            let appended = self.journal.append(entry);
            if let Some(position) = self.halt_on_error(ResultCode::EpochInvariant, appended) {
                self.uncommitted.push_back((position, PendingEntry::Other));
            }
        }
        // An empty entry that flushes the entries above and confirms that this process still owns the shard.
        let appended = self.journal.append(JournalEntry::Withdrawn);
        if let Some(position) = self.halt_on_error(ResultCode::EpochInvariant, appended) {
            self.uncommitted
                .push_back((position, PendingEntry::Borrowed));
            self.effects.push(Effect::Commit);
        }
    }

    pub(super) fn on_borrowing_recorded(&mut self) {
        if let Some(borrowing) = &mut self.borrowing {
            borrowing.recorded = true;
        }
    }

    /// Returns true if the use of the reserved workers is recorded, so that commits may be sent.
    pub fn borrowing_recorded(&self, work: &WorkId) -> bool {
        let borrowing = self.borrowing.as_ref();
        borrowing.is_some_and(|borrowing| borrowing.work == *work && borrowing.recorded)
    }

    /// Starts the tasks on own workers after all lenders have committed, or stops every task if one has not.
    pub fn finish_borrowing(&mut self, work: &WorkId, committed: bool, now: Timestamp) {
        if self
            .borrowing
            .take_if(|borrowing| borrowing.work == *work)
            .is_none()
        {
            return;
        }
        if !committed {
            self.back_off(work, now);
            self.stop_all(work, AfterStop::Requeue);
            self.schedule(now);
            return;
        }
        let Some(record) = self.records.get(work) else {
            return;
        };
        let own = record.placements.iter().filter(|placement| {
            self.workers.contains_key(&placement.worker) && !placement.stopping
        });
        let starts = own.map(|placement| Effect::Start {
            worker: placement.worker.clone(),
            task: placement.task(work),
            spec: record.spec.clone(),
        });
        let starts: Vec<Effect> = starts.collect();
        self.effects.extend(starts);
    }
}
