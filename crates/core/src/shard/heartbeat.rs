//! Worker leases: heartbeats, inventories and the end of leases.

use std::collections::HashSet;

use crate::code::ResultCode;
use crate::id::{Epoch, Incarnation, Sequence, TaskId, WorkerId};
use crate::lease::{LeaseChange, WorkerEvent};
use crate::placement::ClosedReason;
use crate::shard::holding::Holding;
use crate::shard::place::Place;
use crate::shard::{Effect, HeartbeatReport, Shard};
use crate::unit::Timestamp;

impl Shard {
    /// Tells whether a command may be sent to a worker now.
    pub fn may_use_worker(&self, worker: &WorkerId, now: Timestamp) -> bool {
        self.workers
            .get(worker)
            .is_some_and(|holder| holder.lease.may_send(now))
    }

    /// Notes that a heartbeat is about to be sent; returns the lease epoch and the inventory position to send.
    pub fn on_heartbeat_sending(
        &mut self,
        worker: &WorkerId,
        now: Timestamp,
    ) -> Option<(Option<Epoch>, Sequence)> {
        if self.grant_unwanted(worker) {
            return None;
        }
        let holder = self.workers.get_mut(worker)?;
        holder.lease.on_sending(now);
        Some((holder.lease.renewable_epoch(now), holder.sequence))
    }

    /// Returns the lease epoch to put on a command for a worker.
    pub fn lease_epoch(&self, worker: &WorkerId) -> Option<Epoch> {
        self.workers
            .get(worker)
            .and_then(|holder| holder.lease.epoch())
    }

    /// Takes a granted or renewed lease.
    pub fn on_heartbeat(&mut self, worker: &WorkerId, report: HeartbeatReport, now: Timestamp) {
        if self.grant_unwanted(worker) {
            // The request was sent before the release and may have overtaken it.
            let (worker, epoch) = (worker.clone(), report.epoch);
            self.effects.push(Effect::ReleaseLease { worker, epoch });
            return;
        }
        let Some(holder) = self.workers.get_mut(worker) else {
            return;
        };
        let granted = holder.lease.on_granted(
            report.sent_at,
            now,
            report.epoch,
            report.incarnation,
            report.ttl,
            report.task_ttl,
        );
        let granted = granted.map(|change| {
            let restarted = holder
                .incarnation
                .is_some_and(|known| known != report.incarnation);
            holder.incarnation = Some(report.incarnation);
            holder.lapsed = false;
            (change, restarted)
        });
        let Some((change, restarted)) = self.check(ResultCode::EpochInvariant, granted) else {
            return;
        };
        let event = WorkerEvent::Granted(report.epoch);
        let lived = self
            .workers
            .get_mut(worker)
            .map(|holder| holder.life.handle(event));
        if let Some(Err(refusal)) = lived {
            self.halt(refusal);
            return;
        }
        if restarted {
            self.lose_tasks(worker, now);
        }
        self.fleet
            .upsert_worker(worker.clone(), report.rack.clone(), report.capacity);
        if change != LeaseChange::Renewed {
            self.lose_earlier_runs(worker, report.incarnation, now);
            let tasks = self.start_calls.fenced(worker);
            if !tasks.is_empty() {
                let worker = worker.clone();
                self.effects.push(Effect::Acknowledge { worker, tasks });
            }
            self.claim_worker(worker, now);
        }
        self.reopen(worker);
        self.take_inventory(worker, report, now);
        self.resend_starts(worker);
        self.schedule(now);
    }

    fn claim_worker(&mut self, worker: &WorkerId, now: Timestamp) {
        let executors = self.slots.claim_worker(worker);
        let polls = executors
            .into_iter()
            .map(|executor| Effect::Poll { executor });
        self.effects.extend(polls);
        self.record_worker(worker, now);
    }

    /// Opens a worker for new tasks if its lease is held and its use is recorded. Entries that were set aside are tried
    /// again only if it was closed before, because this runs with every heartbeat.
    pub(super) fn reopen(&mut self, worker: &WorkerId) {
        let was_open = self.is_open(worker);
        let Some(holder) = self.workers.get(worker) else {
            return;
        };
        let leased = holder.life.accepts_new_work();
        let recorded = holder.recorded;
        match leased && recorded {
            true => self.fleet.open(worker, ClosedReason::NoLease),
            false => self.fleet.close(worker, ClosedReason::NoLease),
        };
        self.slots.set_open(worker, leased);
        if !was_open && self.is_open(worker) {
            self.capacity_freed();
        }
    }

    /// Tells whether a worker takes new tasks.
    pub(super) fn is_open(&self, worker: &WorkerId) -> bool {
        let slot = self.fleet.get(worker);
        slot.is_some_and(|slot| slot.closed().is_empty())
    }

    fn take_inventory(&mut self, worker: &WorkerId, report: HeartbeatReport, now: Timestamp) {
        let listed: HashSet<TaskId> = match report.full {
            true => report
                .tasks
                .iter()
                .map(|report| report.task.clone())
                .collect(),
            false => HashSet::new(),
        };
        if let Some(holder) = self.workers.get_mut(worker) {
            holder.sequence = report.sequence;
        }
        for task in report.tasks {
            self.on_report(worker, task, now);
        }
        for task in report.forgotten {
            self.release_foreign(worker, &task);
        }
        if report.full {
            self.drop_unlisted(worker, &listed);
        }
        self.fleet.observe_usage(worker, report.observed);
    }

    /// Releases claims of tasks of other shards that the worker no longer lists. Tasks of this shard are settled by what
    /// the worker says about them.
    fn drop_unlisted(&mut self, worker: &WorkerId, listed: &HashSet<TaskId>) {
        let claims = self.workers.get(worker).map(|holder| holder.claims.keys());
        let unlisted = claims
            .into_iter()
            .flatten()
            .filter(|task| !listed.contains(task));
        let unlisted: Vec<TaskId> = unlisted.cloned().collect();
        for task in unlisted {
            self.release_foreign(worker, &task);
        }
    }

    fn release_foreign(&mut self, worker: &WorkerId, task: &TaskId) {
        if task.work().shard() != &self.config.shard {
            self.release_claim(worker, task);
        }
    }

    /// Asks for the whole inventory with the next heartbeat.
    pub(super) fn forget_inventory(&mut self, worker: &WorkerId) {
        if let Some(holder) = self.workers.get_mut(worker) {
            holder.sequence = Sequence::default();
        }
    }

    /// Notes that a worker refused the lease because another holder has it.
    pub fn on_lease_refused(&mut self, worker: &WorkerId, now: Timestamp) {
        self.lease_refused(worker);
        self.schedule(now);
    }

    /// Notes that a heartbeat was not answered.
    pub fn on_heartbeat_lost(&mut self, worker: &WorkerId) {
        if let Some(holder) = self.workers.get_mut(worker) {
            holder.lease.on_unknown();
            let late = holder.life.handle(WorkerEvent::RenewalTimedOut);
            if late.is_ok() {
                self.reopen(worker);
            }
        }
    }

    pub(super) fn lease_refused(&mut self, worker: &WorkerId) {
        if let Some(holder) = self.workers.get_mut(worker) {
            holder.lease.on_refused();
            let _ = holder.life.handle(WorkerEvent::LeaseEnded);
            holder.sequence = Sequence::default();
            self.reopen(worker);
        }
    }

    /// Notes the leases that have ended and the workers whose tasks have certainly stopped.
    pub(super) fn check_leases(&mut self, now: Timestamp) {
        let ended = |lost: bool, leased: bool| lost && leased;
        let workers = self.workers.values();
        let lost: Vec<WorkerId> = workers
            .filter(|holder| ended(holder.lease.is_expired(now), holder.life.accepts_new_work()))
            .map(|holder| holder.worker.clone())
            .collect();
        for worker in &lost {
            self.lease_refused(worker);
        }
        let workers = self.workers.values_mut();
        let lapsed = workers.filter(|holder| {
            let home = holder.holding == Holding::Home;
            home && !holder.lapsed
                && holder.lease.is_expired(now)
                && holder.lease.tasks_certainly_stopped(now)
        });
        let lapsed: Vec<WorkerId> = lapsed
            .map(|holder| {
                holder.lapsed = true;
                holder.worker.clone()
            })
            .collect();
        for worker in &lapsed {
            self.lose_tasks(worker, now);
        }
    }

    /// Takes every task of this shard on a worker as stopped, and forgets the claims of other shards there.
    pub(super) fn lose_tasks(&mut self, worker: &WorkerId, now: Timestamp) {
        let Some(holder) = self.workers.get_mut(worker) else {
            return;
        };
        holder.sequence = Sequence::default();
        let foreign = holder.claims.keys();
        let foreign = foreign.filter(|task| task.work().shard() != &self.config.shard);
        let foreign: Vec<TaskId> = foreign.cloned().collect();
        for task in foreign {
            self.release_claim(worker, &task);
        }
        for task in self.own_tasks(worker, |_| true) {
            self.on_lost(worker, &task, now);
        }
    }

    /// Takes the tasks of earlier runs of a worker as lost.
    fn lose_earlier_runs(&mut self, worker: &WorkerId, current: Incarnation, now: Timestamp) {
        for task in self.own_tasks(worker, |place| place.run.is_some_and(|run| run < current)) {
            self.on_lost(worker, &task, now);
        }
    }

    /// Returns the tasks of this shard that may run on a worker.
    fn own_tasks(&self, worker: &WorkerId, matches: impl Fn(&Place) -> bool) -> Vec<TaskId> {
        let places = self.works.values().flat_map(|record| {
            let open = record.places.iter().filter(|place| !place.is_finished());
            open.map(|place| (&record.id, place))
        });
        let found = places.filter(|(_, place)| place.worker == *worker && matches(place));
        found.map(|(work, place)| place.task(work)).collect()
    }
}
