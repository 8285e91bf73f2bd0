//! The simulated environment and the steps of a run.

mod callers;
mod effects;
mod ids;
mod network;
mod owners;
mod response;

use std::collections::BTreeSet;
use std::sync::Arc;

use lagoon_core::id::{Epoch, WorkId};
use lagoon_core::policy::Policy;
use lagoon_core::shard::{Deduplication, Shard, Submission};
use lagoon_core::unit::{Millis, Timestamp};
use lagoon_core::work::WorkKind;

use super::executor::Executor;
use super::invariants::Invariants;
use super::message::{Call, Message};
use super::process::Process;
use super::step::Step;
use super::store::Store;
use super::worker::Worker;

use self::response::Response;

const WORKERS: usize = 3;
const PROCESSES: usize = 3;
/// Steps of 100 ms within which all work must end once there are no faults: ten minutes.
const MAX_COMPLETION_STEPS: usize = 6_000;
const EXECUTOR: &str = "e0";

/// The environment of the shard and the outcomes that callers were told.
pub(crate) struct World {
    now: Timestamp,
    store: Store,
    workers: Vec<Worker>,
    executor: Executor,
    processes: Vec<Process>,
    messages: Vec<Message>,
    responses: Vec<(usize, Epoch, Response)>,
    submissions: Vec<Submission>,
    accepted: Vec<WorkId>,
    next_payload: u32,
    invariants: Invariants,
    policy: Arc<Policy>,
    /// Payloads of work whose end was reported to a caller.
    pub(crate) ended: BTreeSet<String>,
}

impl World {
    pub(crate) fn new(policy: Policy) -> Self {
        let process = |_| Process::default();
        Self {
            now: Timestamp::from_millis(1_000_000),
            store: Store::default(),
            workers: (0..WORKERS).map(Worker::new).collect(),
            executor: Executor::default(),
            processes: (0..PROCESSES).map(process).collect(),
            messages: Vec::new(),
            responses: Vec::new(),
            submissions: Vec::new(),
            accepted: Vec::new(),
            next_payload: 0,
            invariants: Invariants::default(),
            policy: Arc::new(policy),
            ended: BTreeSet::new(),
        }
    }

    pub(crate) fn step(&mut self, step: Step) {
        match step {
            Step::Advance(ms) => self.advance(Millis::new(u64::from(ms) * 4)),
            Step::Deliver(n) => self.deliver_one(n.into()),
            Step::DeliverAll => self.deliver_all(),
            Step::LoseMessage(n) => self.lose(n.into(), true),
            Step::LoseResponse(n) => self.lose(n.into(), false),
            Step::Heartbeats => self.send_heartbeats(),
            Step::Fence => self.send_fence_calls(),
            Step::SubmitBatch(n) => self.submit_job(n, WorkKind::Batch),
            Step::SubmitGang(n) => self.submit_job(n, WorkKind::Gang),
            Step::SubmitRequest(n) => self.submit_request(n, true),
            Step::SubmitOnce(n) => self.submit_request(n, false),
            Step::Repeat(n) => self.repeat(n),
            Step::Cancel(n) => self.cancel(n),
            Step::CancelMany => (0..8).for_each(|n| self.cancel(n)),
            Step::Claim(n) => self.claim(usize::from(n) % PROCESSES),
            Step::Pause(n) => self.processes[usize::from(n) % PROCESSES].paused = true,
            Step::Resume(n) => self.resume(usize::from(n) % PROCESSES),
            Step::Kill(n) => self.kill(usize::from(n) % PROCESSES),
            Step::StoreDown => self.store.down = true,
            Step::StoreUp => self.store.down = false,
            Step::CrashWorker(n) => {
                self.workers[usize::from(n) % WORKERS].crash(&mut self.invariants)
            }
            Step::RestartWorker(n) => self.workers[usize::from(n) % WORKERS].restart(),
            Step::DisconnectWorker(n) => self.workers[usize::from(n) % WORKERS].disconnected = true,
            Step::ReconnectWorker(n) => self.workers[usize::from(n) % WORKERS].disconnected = false,
        }
    }

    /// Removes all faults, leaves a single owner, and runs until all journalled work has ended.
    pub(crate) fn run_to_completion(&mut self) {
        self.store.down = false;
        for worker in &mut self.workers {
            worker.disconnected = false;
            worker.restart();
        }
        for process in 0..PROCESSES {
            self.resume(process);
        }
        self.deliver_all();
        let owner = self.keep_latest_owner();
        for _ in 0..400 {
            self.send_heartbeats();
            self.send_fence_calls();
            self.deliver_all();
            self.advance(Millis::new(100));
        }
        for index in 0..self.submissions.len() {
            let wait_for_end = true;
            let submission = Submission {
                wait_for_end,
                ..self.submissions[index].clone()
            };
            if submission.deduplication != Deduplication::Once {
                self.send(owner, submission);
            }
        }
        for _ in 0..MAX_COMPLETION_STEPS {
            if self.unfinished().is_empty() {
                break;
            }
            self.send_heartbeats();
            self.deliver_all();
            self.advance(Millis::new(100));
        }
    }

    /// Ends all ownerships but the latest. If its process is gone, another one claims the shard.
    pub(super) fn keep_latest_owner(&mut self) -> usize {
        let last = self.store.head().map(|(head, _)| head.epoch);
        for process in 0..PROCESSES {
            let epoch = self.processes[process].shard.as_ref().map(Shard::epoch);
            if epoch != last {
                self.kill(process);
            }
        }
        let owns = |process: &Process| process.shard.is_some();
        let found = self.processes.iter().position(owns);
        found.unwrap_or_else(|| {
            self.claim(0);
            0
        })
    }

    /// Returns the payloads of journalled work that has not ended.
    pub(crate) fn unfinished(&self) -> Vec<String> {
        let journalled = self
            .submissions
            .iter()
            .filter(|s| matches!(s.deduplication, Deduplication::Journal(_)));
        let payloads = journalled.map(|submission| submission.spec.payload.clone());
        payloads
            .filter(|payload| !self.ended.contains(payload))
            .collect()
    }

    pub(crate) fn describe(&self) -> String {
        let shard = self
            .processes
            .iter()
            .find_map(|process| process.shard.as_ref());
        shard
            .map(|shard| format!("{:?} {:?}", shard.view(), shard.list(None, None, 20)))
            .unwrap_or_default()
    }

    pub(crate) fn runs(&self) -> u32 {
        self.invariants.total_runs()
    }

    pub(super) fn advance(&mut self, by: Millis) {
        self.now = self.now.after(by);
        for worker in &mut self.workers {
            worker.advance_to(self.now, &mut self.invariants);
        }
        self.executor.advance_to(self.now);
        for process in 0..PROCESSES {
            let now = self.now;
            self.with_shard(process, |shard| shard.tick(now));
        }
    }

    /// Changes the shard of a process unless the process is paused, and performs the effects.
    pub(super) fn with_shard<R>(
        &mut self,
        process: usize,
        change: impl FnOnce(&mut Shard) -> R,
    ) -> Option<R> {
        let Process { shard, paused, .. } = &mut self.processes[process];
        let shard = shard.as_mut().filter(|_| !*paused)?;
        let result = change(shard);
        let (epoch, effects) = (shard.epoch(), shard.take_effects());
        for effect in effects {
            self.perform_effect(process, epoch, effect);
        }
        self.write_journal(process);
        Some(result)
    }

    pub(super) fn write_journal(&mut self, process: usize) {
        let now = self.now;
        let Some(shard) = self.processes[process].shard.as_mut() else {
            return;
        };
        let epoch = shard.epoch();
        if let Some(write) = shard.next_request(now) {
            self.send_call(process, epoch, Call::Store(write));
        }
    }

    pub(super) fn send_call(&mut self, process: usize, epoch: Epoch, call: Call) {
        self.messages.push(Message {
            process,
            epoch,
            call,
            response_lost: false,
        });
    }
}
