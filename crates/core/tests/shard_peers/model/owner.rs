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

/// One owner of the shard with what it asked for.
pub(crate) struct Owner {
    pub(crate) shard: Shard,
    pub(crate) effects: Vec<Effect>,
    waiter: WaiterId,
    lease: u64,
    run: u64,
}

impl Owner {
    /// Claims the shard; none if the head does not have the version to replace.
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
            lease: 0,
            run: 1,
        })
    }

    /// Claims what a predecessor handed over.
    pub(crate) fn take_over(
        store: &mut Store,
        process: &str,
        offer: HandOverSnapshot,
    ) -> Option<Self> {
        let mut this = Self::claim(store, process, Some(offer.head))?;
        this.shard.import(offer).unwrap();
        Some(this)
    }

    /// Learns the worker, fences it, obtains its lease at `epoch` and finds `free` slots at the executor.
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
        self.lease = epoch;
        self.fence(WORKER, tasks.clone());
        self.beat(WORKER, tasks);
        self.free_slots(WORKER, free);
        self.pump(store);
    }

    /// Sends a heartbeat that is granted.
    pub(crate) fn beat(&mut self, name: &str, tasks: Vec<TaskReport>) {
        let id = worker(name).worker;
        if self.shard.on_heartbeat_sending(&id, at(0)).is_some() {
            self.granted(name, tasks);
        }
    }

    /// Obtains the lease of a worker again, at a higher epoch.
    pub(crate) fn renew(&mut self, name: &str) {
        self.lease += 1;
        self.shard.on_heartbeat_sending(&worker(name).worker, at(0));
        self.granted(name, Vec::new());
    }

    /// Lets the workers answer as a later run from now on.
    pub(crate) fn restart_workers(&mut self) {
        self.run += 1;
    }

    /// Takes the answer of a worker to fencing.
    pub(crate) fn fence(&mut self, name: &str, tasks: Vec<TaskReport>) {
        let run = Incarnation::new(self.run);
        self.shard
            .on_fenced(&worker(name).worker, run, tasks, at(0));
        self.collect();
    }

    /// Uses a worker of another shard.
    pub(crate) fn adopt(&mut self, name: &str, free: u32, tasks: Vec<TaskReport>) {
        self.shard.set_adopted_workers(&[worker(name)], at(0));
        self.beat(name, tasks);
        self.free_slots(name, free);
    }

    /// Gives all adopted workers back.
    pub(crate) fn give_back(&mut self) {
        self.shard.set_adopted_workers(&[], at(0));
        self.collect();
    }

    /// Takes the grant of a heartbeat that was sent before.
    pub(crate) fn granted(&mut self, name: &str, tasks: Vec<TaskReport>) {
        let report = HeartbeatReport {
            sent_at: at(0),
            epoch: Epoch::new(self.lease),
            incarnation: Incarnation::new(self.run),
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
        self.collect();
    }

    pub(crate) fn free_slots(&mut self, name: &str, free: u32) {
        let executor = worker(name).executors.remove(0).executor;
        self.shard.on_executor_status(&executor, 8 - free, at(0));
        self.collect();
    }

    /// Makes all calls to the store that wait.
    pub(crate) fn pump(&mut self, store: &mut Store) {
        while let Some(write) = self.shard.next_request(at(0)) {
            self.shard.on_store(store.perform(write), at(0));
        }
        self.collect();
    }

    pub(crate) fn ticket(&mut self) -> Ticket {
        self.shard.issue_tickets(1, at(0)).unwrap().remove(0)
    }

    /// Submits work and returns the id under which its reply comes.
    pub(crate) fn submit(&mut self, submission: Submission) -> WaiterId {
        let waiter = self.waiter;
        self.waiter = waiter.next();
        self.shard.submit(waiter, submission, at(0));
        self.collect();
        waiter
    }

    pub(crate) fn reply(&self, waiter: WaiterId) -> Option<&Reply> {
        self.effects.iter().find_map(|effect| match effect {
            Effect::Reply { waiter: to, reply } if *to == waiter => Some(reply),
            _ => None,
        })
    }

    /// Names the reply, so that a case fits on one line.
    pub(crate) fn said(&self, waiter: WaiterId) -> String {
        match self.reply(waiter) {
            None => "nothing".to_owned(),
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
    pub(crate) fn sent(&self) -> usize {
        let sent = |effect: &&Effect| matches!(effect, Effect::Request { .. });
        self.effects.iter().filter(sent).count()
    }

    /// Returns how many tasks were sent to the worker.
    pub(crate) fn started(&self) -> usize {
        let started = |effect: &&Effect| matches!(effect, Effect::Start { .. });
        self.effects.iter().filter(started).count()
    }

    /// Returns the lease epochs that were given up.
    pub(crate) fn released(&self) -> Vec<u64> {
        let released = self.effects.iter().filter_map(|effect| match effect {
            Effect::ReleaseLease { epoch, .. } => Some(epoch.get()),
            _ => None,
        });
        released.collect()
    }

    pub(crate) fn halted(&self) -> Option<ResultCode> {
        self.effects.iter().find_map(|effect| match effect {
            Effect::Halt(Refusal { code, .. }) => Some(*code),
            _ => None,
        })
    }

    /// Answers the last request that was sent.
    pub(crate) fn answer(&mut self, result: RequestResult) {
        let sent = self.effects.iter().rev().find_map(|effect| match effect {
            Effect::Request { executor, work, .. } => Some((executor.clone(), work.clone())),
            _ => None,
        });
        let (executor, work) = sent.unwrap();
        self.shard.on_request(&executor, &work, result, at(0));
        self.collect();
    }

    /// Goes through a handover up to the export.
    pub(crate) fn export(&mut self, store: &mut Store) -> HandOverSnapshot {
        assert!(self.shard.begin_hand_over(at(0)));
        self.shard.release_leases();
        self.pump(store);
        let snapshot = self.shard.export(at(0)).expect("nothing waits");
        self.collect();
        snapshot
    }

    pub(crate) fn collect(&mut self) {
        self.effects.extend(self.shard.take_effects());
    }
}
