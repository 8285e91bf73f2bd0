//! Worker leases: heartbeats, inventories and lease expiry.

use std::collections::HashSet;

use crate::code::ResultCode;
use crate::id::{Epoch, Incarnation, Sequence, TaskId, WorkerId};
use crate::lease::{LeaseChange, WorkerEvent};
use crate::placement::ClosedReason;
use crate::shard::task_placement::TaskPlacement;
use crate::shard::worker_assignment::WorkerAssignment;
use crate::shard::{Effect, HeartbeatReport, Shard};
use crate::unit::Timestamp;

impl Shard {
    /// Returns true if a command may be sent to a worker under its lease.
    pub fn may_use_worker(&self, worker: &WorkerId, now: Timestamp) -> bool {
        self.workers
            .get(worker)
            .is_some_and(|worker_record| worker_record.lease.may_send(now))
    }

    /// Records that a heartbeat is about to be sent. Returns the lease epoch and the inventory position to send.
    pub fn on_heartbeat_sending(
        &mut self,
        worker: &WorkerId,
        now: Timestamp,
    ) -> Option<(Option<Epoch>, Sequence)> {
        if self.rejects_grant(worker) {
            return None;
        }
        let worker_record = self.workers.get_mut(worker)?;
        worker_record.lease.on_sending(now);
        Some((
            worker_record.lease.renewable_epoch(now),
            worker_record.sequence,
        ))
    }

    /// Returns the lease epoch to send with a command to a worker.
    pub fn lease_epoch(&self, worker: &WorkerId) -> Option<Epoch> {
        self.workers
            .get(worker)
            .and_then(|worker_record| worker_record.lease.epoch())
    }

    /// Applies a granted or renewed lease.
    pub fn on_heartbeat(&mut self, worker: &WorkerId, report: HeartbeatReport, now: Timestamp) {
        if self.rejects_grant(worker) {
            // The request was sent before the release and may have overtaken it.
            let (worker, epoch) = (worker.clone(), report.epoch);
            self.effects.push(Effect::ReleaseLease { worker, epoch });
            return;
        }
        let Some(worker_record) = self.workers.get_mut(worker) else {
            return;
        };
        let granted = worker_record.lease.on_granted(
            report.sent_at,
            now,
            report.epoch,
            report.incarnation,
            report.ttl,
            report.task_ttl,
        );
        let granted = granted.map(|change| {
            let restarted = worker_record
                .incarnation
                .is_some_and(|known| known != report.incarnation);
            worker_record.incarnation = Some(report.incarnation);
            worker_record.tasks_lost = false;
            (change, restarted)
        });
        let Some((change, restarted)) = self.halt_on_error(ResultCode::EpochInvariant, granted)
        else {
            return;
        };
        let event = WorkerEvent::Granted(report.epoch);
        let transition = self
            .workers
            .get_mut(worker)
            .map(|worker_record| worker_record.lifecycle.handle(event));
        if let Some(Err(refusal)) = transition {
            self.halt(refusal);
            return;
        }
        if restarted {
            self.mark_tasks_lost(worker, now);
        }
        self.fleet
            .upsert_worker(worker.clone(), report.rack.clone(), report.capacity);
        if change != LeaseChange::Renewed {
            self.mark_earlier_incarnations_lost(worker, report.incarnation, now);
            let tasks = self.pending_starts.on_new_lease_epoch(worker);
            if !tasks.is_empty() {
                let worker = worker.clone();
                self.effects.push(Effect::Acknowledge { worker, tasks });
            }
            self.on_new_lease(worker, now);
        }
        self.update_open_state(worker);
        self.apply_inventory(worker, report, now);
        self.resend_starts(worker);
        self.schedule(now);
    }

    fn on_new_lease(&mut self, worker: &WorkerId, now: Timestamp) {
        let executors = self.slots.open_worker(worker);
        let polls = executors
            .into_iter()
            .map(|executor| Effect::Poll { executor });
        self.effects.extend(polls);
        self.record_worker(worker, now);
    }

    /// Opens a worker for new tasks if its lease is held and its use is recorded, and closes it otherwise. Deferred
    /// entries are retried only if the worker was closed before, because this runs on every heartbeat.
    pub(super) fn update_open_state(&mut self, worker: &WorkerId) {
        let was_open = self.is_open(worker);
        let Some(worker_record) = self.workers.get(worker) else {
            return;
        };
        let leased = worker_record.lifecycle.accepts_new_work();
        let recorded = worker_record.recorded;
        match leased && recorded {
            true => self.fleet.open(worker, ClosedReason::NoLease),
            false => self.fleet.close(worker, ClosedReason::NoLease),
        };
        self.slots.set_open(worker, leased);
        if !was_open && self.is_open(worker) {
            self.on_capacity_freed();
        }
    }

    /// Returns true if a worker accepts new tasks.
    pub(super) fn is_open(&self, worker: &WorkerId) -> bool {
        let slot = self.fleet.get(worker);
        slot.is_some_and(|slot| slot.closed().is_empty())
    }

    fn apply_inventory(&mut self, worker: &WorkerId, report: HeartbeatReport, now: Timestamp) {
        let listed: HashSet<TaskId> = match report.full {
            true => report
                .tasks
                .iter()
                .map(|report| report.task.clone())
                .collect(),
            false => HashSet::new(),
        };
        if let Some(worker_record) = self.workers.get_mut(worker) {
            worker_record.sequence = report.sequence;
        }
        for task in report.tasks {
            self.on_task_report(worker, task, now);
        }
        for task in report.forgotten {
            self.release_if_foreign(worker, &task);
        }
        if report.full {
            self.release_unlisted(worker, &listed);
        }
        self.fleet.observe_usage(worker, report.observed);
    }

    /// Releases allocations of other shards' tasks that the worker no longer lists. Allocations of this shard's tasks
    /// are released only when the worker reports on them.
    fn release_unlisted(&mut self, worker: &WorkerId, listed: &HashSet<TaskId>) {
        let allocations = self
            .workers
            .get(worker)
            .map(|worker_record| worker_record.allocations.keys());
        let unlisted = allocations
            .into_iter()
            .flatten()
            .filter(|task| !listed.contains(task));
        let unlisted: Vec<TaskId> = unlisted.cloned().collect();
        for task in unlisted {
            self.release_if_foreign(worker, &task);
        }
    }

    fn release_if_foreign(&mut self, worker: &WorkerId, task: &TaskId) {
        if task.work().shard() != &self.config.shard {
            self.release_allocation(worker, task);
        }
    }

    /// Requests the full inventory with the next heartbeat.
    pub(super) fn request_full_inventory(&mut self, worker: &WorkerId) {
        if let Some(worker_record) = self.workers.get_mut(worker) {
            worker_record.sequence = Sequence::default();
        }
    }

    /// Records that a worker refused the lease because another process holds it.
    pub fn on_lease_refused(&mut self, worker: &WorkerId, now: Timestamp) {
        self.lease_refused(worker);
        self.schedule(now);
    }

    /// Records that a heartbeat was not answered.
    pub fn on_heartbeat_lost(&mut self, worker: &WorkerId) {
        if let Some(worker_record) = self.workers.get_mut(worker) {
            worker_record.lease.on_unknown();
            let transition = worker_record.lifecycle.handle(WorkerEvent::RenewalTimedOut);
            if transition.is_ok() {
                self.update_open_state(worker);
            }
        }
    }

    pub(super) fn lease_refused(&mut self, worker: &WorkerId) {
        if let Some(worker_record) = self.workers.get_mut(worker) {
            worker_record.lease.on_refused();
            let _ = worker_record.lifecycle.handle(WorkerEvent::LeaseEnded);
            worker_record.sequence = Sequence::default();
            self.update_open_state(worker);
        }
    }

    /// Handles leases that have expired and workers whose tasks have certainly stopped.
    pub(super) fn check_leases(&mut self, now: Timestamp) {
        let expired_while_leased = |expired: bool, leased: bool| expired && leased;
        let workers = self.workers.values();
        let expired: Vec<WorkerId> = workers
            .filter(|worker_record| {
                expired_while_leased(
                    worker_record.lease.is_expired(now),
                    worker_record.lifecycle.accepts_new_work(),
                )
            })
            .map(|worker_record| worker_record.worker.clone())
            .collect();
        for worker in &expired {
            self.lease_refused(worker);
        }
        let workers = self.workers.values_mut();
        let stopped = workers.filter(|worker_record| {
            let home = worker_record.assignment == WorkerAssignment::Home;
            home && !worker_record.tasks_lost
                && worker_record.lease.is_expired(now)
                && worker_record.lease.tasks_certainly_stopped(now)
        });
        let stopped: Vec<WorkerId> = stopped
            .map(|worker_record| {
                worker_record.tasks_lost = true;
                worker_record.worker.clone()
            })
            .collect();
        for worker in &stopped {
            self.mark_tasks_lost(worker, now);
        }
    }

    /// Marks every task of this shard on a worker as lost, and releases the allocations of other shards there.
    pub(super) fn mark_tasks_lost(&mut self, worker: &WorkerId, now: Timestamp) {
        let Some(worker_record) = self.workers.get_mut(worker) else {
            return;
        };
        worker_record.sequence = Sequence::default();
        let foreign = worker_record.allocations.keys();
        let foreign = foreign.filter(|task| task.work().shard() != &self.config.shard);
        let foreign: Vec<TaskId> = foreign.cloned().collect();
        for task in foreign {
            self.release_allocation(worker, &task);
        }
        for task in self.own_tasks(worker, |_| true) {
            self.on_lost(worker, &task, now);
        }
    }

    /// Marks the tasks of earlier incarnations of a worker as lost.
    fn mark_earlier_incarnations_lost(
        &mut self,
        worker: &WorkerId,
        current: Incarnation,
        now: Timestamp,
    ) {
        for task in self.own_tasks(worker, |placement| {
            placement.incarnation.is_some_and(|known| known < current)
        }) {
            self.on_lost(worker, &task, now);
        }
    }

    /// Returns the unfinished tasks of this shard on a worker that match.
    fn own_tasks(
        &self,
        worker: &WorkerId,
        matches: impl Fn(&TaskPlacement) -> bool,
    ) -> Vec<TaskId> {
        let placements = self.records.values().flat_map(|record| {
            let open = record
                .placements
                .iter()
                .filter(|placement| !placement.is_finished());
            open.map(|placement| (&record.id, placement))
        });
        let found =
            placements.filter(|(_, placement)| placement.worker == *worker && matches(placement));
        found
            .map(|(work, placement)| placement.task(work))
            .collect()
    }
}
