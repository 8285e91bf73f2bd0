//! Gang jobs that do not fit on the shard's own workers.
//!
//! The daemon reserves the missing members shard by shard, in ascending order, and either all members are started or
//! none. The use of the other shards' workers is in the journal before the first commit, so that a successor finds what
//! was started. Jobs that ask for racks are not split between shards, because no shard sees all racks.

use crate::code::ResultCode;
use crate::id::{Attempt, TaskId, TaskIndex, WorkId};
use crate::journal::JournalEntry;
use crate::order::QueueEntry;
use crate::placement::Fleet;
use crate::shard::after_stop::AfterStop;
use crate::shard::borrowing::Borrowing;
use crate::shard::commit::Recorded;
use crate::shard::place::Place;
use crate::shard::{BorrowPlan, Effect, LentMember, Shard, ShardPhase, WorkerSpec};
use crate::unit::{Millis, Timestamp};
use crate::work::{Spread, WorkKind, WorkSpec, WorkState};

/// Wait after an attempt that failed, so that reservations do not keep capacity from others all the time.
const BACKOFF: Millis = Millis::new(1_000);
/// Further wait for each shard number, so that two borrowers that took members from each other do not do so again.
const BACKOFF_STEP: Millis = Millis::new(170);
const BACKOFF_STEPS: u16 = 8;
/// Jobs that are tried again without a sign that they fit.
const MAX_WAITING: usize = 64;

impl Shard {
    /// Takes all workers of the failure domain, to tell whether a gang job could ever fit there.
    pub fn set_domain(&mut self, workers: &[WorkerSpec]) {
        self.domain = Fleet::new();
        for spec in workers {
            self.domain
                .upsert_worker(spec.worker.clone(), spec.rack.clone(), spec.capacity);
        }
    }

    /// Tells whether a gang job may be split between shards and the failure domain could hold it.
    pub(super) fn could_borrow(&self, spec: &WorkSpec) -> bool {
        let placement = &spec.placement;
        let plain = placement.spread == Spread::Pack && placement.racks.is_empty();
        let holds = || {
            self.domain
                .can_ever_fit(spec.task_count, &spec.resources, placement)
        };
        spec.kind == WorkKind::Gang && plain && holds()
    }

    /// Tells whether a job can only start with members at other shards. One that fits on the own workers waits for them:
    /// they are held for it in its turn. For the others nothing is held, because two of them would hold each other's
    /// workers for good.
    pub(super) fn needs_others(&self, work: &WorkId) -> bool {
        let record = self.works.get(work);
        record.is_some_and(|record| {
            let spec = &record.spec;
            let alone = self
                .fleet
                .can_ever_fit(spec.task_count, &spec.resources, &spec.placement);
            !alone && self.could_borrow(spec)
        })
    }

    /// Begins to borrow for a job that needs others, or lets it wait for its turn.
    pub(super) fn consider_borrowing(&mut self, entry: &QueueEntry, now: Timestamp) {
        let work = &entry.work;
        if self.borrowing.is_some()
            || now < self.borrow_after
            || self.phase() != ShardPhase::Serving
        {
            self.await_borrowing(work);
            return;
        }
        let Some(record) = self.works.get(work) else {
            return;
        };
        self.borrowing = Some(Borrowing {
            work: work.clone(),
            need: record.spec.resources,
            local: Default::default(),
            recorded: false,
        });
        let work = work.clone();
        self.effects.push(Effect::Borrow { work });
    }

    /// Tries the next job that waits for other shards; nothing else tells that they have room.
    pub(super) fn retry_borrowing(&mut self, now: Timestamp) {
        if self.borrowing.is_none()
            && now >= self.borrow_after
            && let Some(work) = self.borrow_queue.pop_front()
        {
            self.tasks.retry_work(&work);
        }
    }

    fn await_borrowing(&mut self, work: &WorkId) {
        if self.borrow_queue.len() < MAX_WAITING && !self.borrow_queue.contains(work) {
            self.borrow_queue.push_back(work.clone());
        }
    }

    fn back_off(&mut self, work: &WorkId, now: Timestamp) {
        let step = u64::from(self.config.shard.number().get() % BACKOFF_STEPS);
        let wait = Millis::new(BACKOFF.get() + step * BACKOFF_STEP.get());
        self.borrow_after = now.after(wait);
        self.await_borrowing(work);
    }

    /// Takes the job out of its queue and claims own workers for as many members as fit.
    pub fn begin_borrowing(&mut self, work: &WorkId, now: Timestamp) -> Option<BorrowPlan> {
        let waits = |state: &WorkState| *state == WorkState::Waiting;
        let record = self.works.get(work).filter(|record| waits(&record.state));
        let Some(spec) = record.map(|record| record.spec.clone()) else {
            self.end_borrowing(work, now);
            return None;
        };
        self.queue_of(work).remove(work);
        if let Some(record) = self.works.get_mut(work) {
            record.reason = "reserving hosts of other shards".to_owned();
        }
        // One member less than all: a job that fits here by now is placed in its turn.
        let most = spec.task_count.saturating_sub(1);
        let local = self.place_most(most, &spec.resources, &spec.placement);
        let missing = spec.task_count - u32::try_from(local.len()).unwrap_or(most);
        if let Some(borrowing) = &mut self.borrowing {
            borrowing.local = local;
        }
        Some(BorrowPlan { spec, missing })
    }

    /// Gives up before anything was committed: the job goes back to its queue.
    pub fn end_borrowing(&mut self, work: &WorkId, now: Timestamp) {
        let Some(borrowing) = self.borrowing.take_if(|borrowing| borrowing.work == *work) else {
            return;
        };
        self.release_all(&borrowing.local, borrowing.need);
        self.back_off(work, now);
        let record = self.works.get_mut(work);
        let record = record.filter(|record| record.places.is_empty() && record.ending.is_none());
        if let Some(record) = record {
            let held = record.state == WorkState::Held;
            record.reason = "no host has room for it now".to_owned();
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

    /// Places all members and records the use of the other shards' workers. Returns the tasks, those of `lent` last and in
    /// their order; none if the job is not to be started any more.
    pub fn record_borrowing(
        &mut self,
        work: &WorkId,
        lent: &[LentMember],
        now: Timestamp,
    ) -> Option<Vec<TaskId>> {
        if self.phase() != ShardPhase::Serving {
            return None;
        }
        let local = self
            .borrowing
            .as_mut()
            .filter(|borrowing| borrowing.work == *work)?;
        let local = std::mem::take(&mut local.local);
        let epoch = self.epoch;
        let record = self.works.get_mut(work);
        let record = record.filter(|record| {
            let members = record.spec.task_count as usize;
            record.state == WorkState::Waiting && members == local.len() + lent.len()
        });
        let Some(record) = record else {
            if let Some(borrowing) = &mut self.borrowing {
                borrowing.local = local;
            }
            return None;
        };
        record.state = WorkState::Starting;
        record.charged = true;
        record.attempts += 1;
        record.placed_at = Some(now);
        let attempt = Attempt::new(epoch, record.attempts);
        let spec = record.spec.clone();
        let own = local.iter().map(|worker| {
            let holder = self.workers.get(worker);
            (worker, holder.and_then(|holder| holder.incarnation))
        });
        let others = lent
            .iter()
            .map(|member| (&member.worker, Some(member.incarnation)));
        record.places = own
            .chain(others)
            .zip(0..)
            .map(|((worker, run), n)| {
                Place::starting(TaskIndex::new(n), worker.clone(), attempt, run)
            })
            .collect();
        let tasks: Vec<TaskId> = record.places.iter().map(|place| place.task(work)).collect();
        let entry = record.queue_entry();
        self.tasks.charge(entry.kind, &entry.team, entry.need);
        for (worker, task) in local.iter().zip(&tasks) {
            if let Some(holder) = self.workers.get_mut(worker) {
                holder.claims.insert(task.clone(), spec.resources);
            }
        }
        self.record_lent(lent);
        Some(tasks)
    }

    fn record_lent(&mut self, lent: &[LentMember]) {
        for member in lent {
            let used = self.journal.state().workers().get(&member.worker);
            if used.is_some_and(|used| used.incarnation == member.incarnation) {
                continue;
            }
            let entry = JournalEntry::WorkerUsed {
                worker: member.worker.clone(),
                host: member.host.clone(),
                address: member.address.clone(),
                incarnation: member.incarnation,
            };
            let appended = self.journal.append(entry);
            if let Some(position) = self.check(ResultCode::EpochInvariant, appended) {
                self.uncommitted.push_back((position, Recorded::Other));
            }
        }
        // Confirms the entries above, and shows that this owner is still the owner.
        let appended = self.journal.append(JournalEntry::Withdrawn);
        if let Some(position) = self.check(ResultCode::EpochInvariant, appended) {
            self.uncommitted.push_back((position, Recorded::Borrowed));
            self.effects.push(Effect::Commit);
        }
    }

    pub(super) fn on_borrowing_recorded(&mut self) {
        if let Some(borrowing) = &mut self.borrowing {
            borrowing.recorded = true;
        }
    }

    /// Tells whether the commits may be sent.
    pub fn borrowing_recorded(&self, work: &WorkId) -> bool {
        let borrowing = self.borrowing.as_ref();
        borrowing.is_some_and(|borrowing| borrowing.work == *work && borrowing.recorded)
    }

    /// Starts the own members after all lenders have committed, or stops every member if one has not.
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
        let Some(record) = self.works.get(work) else {
            return;
        };
        let own = record
            .places
            .iter()
            .filter(|place| self.workers.contains_key(&place.worker) && !place.stopping);
        let starts = own.map(|place| Effect::Start {
            worker: place.worker.clone(),
            task: place.task(work),
            spec: record.spec.clone(),
        });
        let starts: Vec<Effect> = starts.collect();
        self.effects.extend(starts);
    }
}
