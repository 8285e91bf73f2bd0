//! Worker leases: heartbeats, inventories and the end of leases.

use std::collections::HashSet;

use crate::code::{Refusal, ResultCode};
use crate::id::{Epoch, HostId, Sequence, TaskId, WorkerId};
use crate::journal::JournalEntry;
use crate::lease::{LeaseChange, WorkerEvent};
use crate::placement::ClosedReason;
use crate::shard::commit::Recorded;
use crate::shard::{Effect, HeartbeatReport, Shard, ShardPhase};
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
        let holder = self.workers.get_mut(worker)?;
        holder.lease.on_sending(now);
        Some((holder.lease.renewable(now), holder.sequence))
    }

    /// Returns the lease epoch to put on a command for a worker.
    pub fn lease_epoch(&self, worker: &WorkerId) -> Option<Epoch> {
        self.workers
            .get(worker)
            .and_then(|holder| holder.lease.epoch())
    }

    /// Takes a granted or renewed lease.
    pub fn on_heartbeat(&mut self, worker: &WorkerId, report: HeartbeatReport, now: Timestamp) {
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

    /// Records that the shard uses the worker, so that a successor asks it before it starts inherited work again.
    pub(super) fn record_worker(&mut self, worker: &WorkerId, now: Timestamp) {
        let fencing = self.phase() == ShardPhase::Fencing;
        let used = self.journal.state().workers().get(worker);
        let used = used.map(|used| used.incarnation);
        let Some(holder) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(incarnation) = holder.incarnation else {
            return;
        };
        holder.recorded = used == Some(incarnation);
        if holder.recorded || (fencing && used.is_some()) {
            return;
        }
        let entry = JournalEntry::WorkerUsed {
            worker: worker.clone(),
            host: holder.host.clone(),
            address: holder.address.clone(),
            incarnation,
        };
        let appended = self.journal.append(entry);
        if let Some(position) = self.check(ResultCode::EpochInvariant, appended) {
            let recorded = Recorded::Worker {
                worker: worker.clone(),
                at: now,
            };
            self.uncommitted.push_back((position, recorded));
            self.effects.push(Effect::Commit);
        }
    }

    /// Records that nothing of this shard can run on a worker any more, so that a successor need not ask it.
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
        if let Some(position) = self.check(ResultCode::EpochInvariant, appended) {
            self.uncommitted.push_back((position, Recorded::Other));
            self.effects.push(Effect::Commit);
        }
    }

    /// Opens a worker for new tasks if its lease is held and its use is recorded.
    pub(super) fn reopen(&mut self, worker: &WorkerId) {
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
        if leased && recorded {
            self.capacity_freed();
        }
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
            let late = holder.life.handle(WorkerEvent::RenewalLate);
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
            .filter(|holder| ended(holder.lease.lost(now), holder.life.accepts_new_work()))
            .map(|holder| holder.worker.clone())
            .collect();
        for worker in &lost {
            self.lease_refused(worker);
        }
        let workers = self.workers.values();
        let lapsed: Vec<WorkerId> = workers
            .filter(|holder| !holder.claims.is_empty() && holder.lease.lost(now))
            .filter(|holder| holder.lease.tasks_certainly_lapsed(now))
            .map(|holder| holder.worker.clone())
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
        let tasks: Vec<TaskId> = holder.claims.keys().cloned().collect();
        for task in tasks {
            match task.work().shard() == &self.config.shard {
                true => self.on_lost(worker, &task, now),
                false => self.release_claim(worker, &task),
            }
        }
    }

    /// Takes an operator's word that a host is dead: nothing runs there any more.
    ///
    /// # Errors
    ///
    /// Refused if the host is not known or still answers.
    pub fn confirm_dead(&mut self, host: &HostId, now: Timestamp) -> Result<usize, Refusal> {
        let of_host = self.workers.values().filter(|holder| holder.host == *host);
        let workers: Vec<WorkerId> = of_host.map(|holder| holder.worker.clone()).collect();
        if workers
            .iter()
            .any(|worker| self.may_use_worker(worker, now))
        {
            let text = format!("host {host} still answers");
            return Err(Refusal::new(ResultCode::InvalidValue, text));
        }
        let used = self.journal.state().workers().iter();
        let used =
            used.filter(|(worker, used)| used.host == *host && self.unfenced.contains_key(*worker));
        let unfenced: Vec<WorkerId> = used.map(|(worker, _)| worker.clone()).collect();
        if workers.is_empty() && unfenced.is_empty() {
            return Err(Refusal::new(
                ResultCode::UnknownHost,
                format!("host {host} is not known"),
            ));
        }
        let appended = self
            .journal
            .append(JournalEntry::HostDead { host: host.clone() })?;
        self.uncommitted.push_back((appended, Recorded::Other));
        self.effects.push(Effect::Commit);
        for worker in &workers {
            self.lose_tasks(worker, now);
        }
        for worker in &unfenced {
            self.inherited_lost = true;
            self.fenced(worker, now);
        }
        self.schedule(now);
        Ok(workers.len().max(unfenced.len()))
    }
}
