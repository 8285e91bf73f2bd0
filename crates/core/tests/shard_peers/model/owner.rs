use std::sync::Arc;

use lagoon_core::id::{Epoch, Incarnation, Sequence, ShardId, Ticket};
use lagoon_core::journal::{JournalLimits, StoreVersion};
use lagoon_core::shard::{
    Effect, HandOverSnapshot, HeartbeatReport, Reply, RequestResult, Shard, ShardConfig,
    Submission, TaskReport, WaiterId,
};
use lagoon_core::ticket::TicketLimits;
use lagoon_core::unit::{Millis, Resources};
use lagoon_core::work::Outcome;
use lagoon_core::{Refusal, ResultCode};

use super::Store;
use super::fixture::{CAPACITY, WORKER, at, policy, worker};

/// An owner of the shard and the effects that it produced.
pub(crate) struct Owner {
    pub(crate) shard: Shard,
    pub(crate) effects: Vec<Effect>,
    waiter: WaiterId,
    lease_epoch: u64,
    incarnation: u64,
}

impl Owner {
    /// Claims the shard. Returns `None` if the head does not have the version `replaces`.
    pub(crate) fn claim(
        store: &mut Store,
        process: &str,
        replaces: Option<StoreVersion>,
    ) -> Option<Self> {
        let id: ShardId = "cluj:3".parse().unwrap();
        let (head, version, state) = store.claim(&id, process, replaces)?;
        let config = ShardConfig {
            task_ttl: Millis::new(60_000),
            shard: id,
            process: process.parse().unwrap(),
            lease_margin: Millis::new(100),
            record_timeout: Millis::new(2_000),
            tickets: TicketLimits::default(),
            journal: JournalLimits::default(),
        };
        let shard = Shard::new(config, head, version, state, Arc::new(policy()));
        Some(Self {
            shard,
            effects: Vec::new(),
            waiter: WaiterId::default(),
            lease_epoch: 0,
            incarnation: 1,
        })
    }

    /// Claims a shard that its previous owner handed over.
    pub(crate) fn take_over(
        store: &mut Store,
        process: &str,
        snapshot: HandOverSnapshot,
    ) -> Option<Self> {
        let mut this = Self::claim(store, process, Some(snapshot.head))?;
        this.shard.import(snapshot).unwrap();
        Some(this)
    }

    /// Adds the worker, fences it, obtains its lease at `epoch` and reports `free` slots at the executor.
    pub(crate) fn serve(
        &mut self,
        store: &mut Store,
        epoch: u64,
        free: u32,
        tasks: Vec<TaskReport>,
    ) {
        self.shard.begin_fencing(at(0));
        self.shard
            .set_workers(&[worker(WORKER)], &Default::default(), at(0));
        self.lease_epoch = epoch;
        self.fence(WORKER, tasks.clone());
        self.heartbeat(WORKER, tasks);
        self.report_free_slots(WORKER, free);
        self.flush_journal(store);
    }

    /// Sends a heartbeat that is granted.
    pub(crate) fn heartbeat(&mut self, name: &str, tasks: Vec<TaskReport>) {
        let id = worker(name).worker;
        if self.shard.on_heartbeat_sending(&id, at(0)).is_some() {
            self.grant_lease(name, tasks);
        }
    }

    /// Obtains the lease of a worker again, at a higher epoch.
    pub(crate) fn regrant_lease(&mut self, name: &str) {
        self.lease_epoch += 1;
        self.shard.on_heartbeat_sending(&worker(name).worker, at(0));
        self.grant_lease(name, Vec::new());
    }

    /// Makes the workers report a later incarnation from now on.
    pub(crate) fn restart_workers(&mut self) {
        self.incarnation += 1;
    }

    /// Delivers a worker's response to fencing.
    pub(crate) fn fence(&mut self, name: &str, tasks: Vec<TaskReport>) {
        let incarnation = Incarnation::new(self.incarnation);
        self.shard
            .on_fenced(&worker(name).worker, incarnation, tasks, at(0));
        self.collect_effects();
    }

    /// Adopts a worker of another shard.
    pub(crate) fn adopt(&mut self, name: &str, free: u32, tasks: Vec<TaskReport>) {
        self.shard.set_adopted_workers(&[worker(name)], at(0));
        self.heartbeat(name, tasks);
        self.report_free_slots(name, free);
    }

    /// Returns all adopted workers.
    pub(crate) fn return_adopted(&mut self) {
        self.shard.set_adopted_workers(&[], at(0));
        self.collect_effects();
    }

    /// Delivers the grant for a heartbeat that was sent before.
    pub(crate) fn grant_lease(&mut self, name: &str, tasks: Vec<TaskReport>) {
        let report = HeartbeatReport {
            sent_at: at(0),
            epoch: Epoch::new(self.lease_epoch),
            incarnation: Incarnation::new(self.incarnation),
            rack: "r1".parse().unwrap(),
            capacity: CAPACITY,
            ttl: Millis::new(2_000),
            task_ttl: Millis::new(60_000),
            full: true,
            sequence: Sequence::new(1),
            tasks,
            forgotten: Vec::new(),
            observed: Resources::ZERO,
        };
        self.shard.on_heartbeat(&worker(name).worker, report, at(0));
        self.collect_effects();
    }

    pub(crate) fn report_free_slots(&mut self, name: &str, free: u32) {
        let executor = worker(name).executors.remove(0).executor;
        self.shard.on_executor_status(&executor, 8 - free, at(0));
        self.collect_effects();
    }

    /// Performs all pending requests to the store.
    pub(crate) fn flush_journal(&mut self, store: &mut Store) {
        while let Some(write) = self.shard.next_request(at(0)) {
            self.shard.on_store(store.perform(write), at(0));
        }
        self.collect_effects();
    }

    pub(crate) fn ticket(&mut self) -> Ticket {
        self.shard.issue_tickets(1, at(0)).unwrap().remove(0)
    }

    /// Submits work and returns the waiter id of its reply.
    pub(crate) fn submit(&mut self, submission: Submission) -> WaiterId {
        let waiter = self.waiter;
        self.waiter = waiter.next();
        self.shard.submit(waiter, submission, at(0));
        self.collect_effects();
        waiter
    }

    pub(crate) fn reply(&self, waiter: WaiterId) -> Option<&Reply> {
        self.effects.iter().find_map(|effect| match effect {
            Effect::Reply { waiter: to, reply } if *to == waiter => Some(reply),
            _ => None,
        })
    }

    /// Returns a short name of the reply.
    pub(crate) fn reply_name(&self, waiter: WaiterId) -> String {
        match self.reply(waiter) {
            None => "no reply".to_owned(),
            Some(Reply::Accepted { .. }) => "accepted".to_owned(),
            Some(Reply::Ended { outcome, .. }) => match outcome {
                Outcome::Succeeded(text) => format!("answer {text}"),
                Outcome::Failed(text) => format!("failed {text}"),
                Outcome::Refused(refusal) => refusal.code.name().to_owned(),
            },
            Some(Reply::Refused(refusal)) => refusal.code.name().to_owned(),
        }
    }

    /// Returns how many requests were sent to the executor.
    pub(crate) fn requests_sent(&self) -> usize {
        let sent = |effect: &&Effect| matches!(effect, Effect::Request { .. });
        self.effects.iter().filter(sent).count()
    }

    /// Returns how many starts were sent to the worker.
    pub(crate) fn starts_sent(&self) -> usize {
        let started = |effect: &&Effect| matches!(effect, Effect::Start { .. });
        self.effects.iter().filter(started).count()
    }

    /// Returns the lease epochs that were released.
    pub(crate) fn released_leases(&self) -> Vec<u64> {
        let released = self.effects.iter().filter_map(|effect| match effect {
            Effect::ReleaseLease { epoch, .. } => Some(epoch.get()),
            _ => None,
        });
        released.collect()
    }

    pub(crate) fn halt_code(&self) -> Option<ResultCode> {
        self.effects.iter().find_map(|effect| match effect {
            Effect::Halt(Refusal { code, .. }) => Some(*code),
            _ => None,
        })
    }

    /// Reports the result of the last request that was sent.
    pub(crate) fn finish_request(&mut self, result: RequestResult) {
        let sent = self.effects.iter().rev().find_map(|effect| match effect {
            Effect::Request { executor, work, .. } => Some((executor.clone(), work.clone())),
            _ => None,
        });
        let (executor, work) = sent.unwrap();
        self.shard.on_request(&executor, &work, result, at(0));
        self.collect_effects();
    }

    /// Performs a handover up to the export.
    pub(crate) fn export(&mut self, store: &mut Store) -> HandOverSnapshot {
        assert!(self.shard.begin_hand_over(at(0)));
        self.shard.release_leases();
        self.flush_journal(store);
        let snapshot = self
            .shard
            .export(at(0))
            .expect("the journal is committed and the leases are released");
        self.collect_effects();
        snapshot
    }

    pub(crate) fn collect_effects(&mut self) {
        self.effects.extend(self.shard.take_effects());
    }
}
