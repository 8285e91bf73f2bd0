use std::collections::{BTreeSet, HashMap};

use lagoon_core::code::ResultCode;
use lagoon_core::id::{Epoch, ExecutorId, RequestKey, TaskId, Ticket, WorkId, WorkerId};
use lagoon_core::policy::Policy;
use lagoon_core::shard::{
    Deduplication, Effect, HeartbeatReport, Reply, RequestResult, Shard, StartResult, Submission,
    WaiterId, WorkerSpec,
};
use lagoon_core::unit::{Millis, Timestamp};
use lagoon_core::work::{Outcome, WorkKind, WorkSpec};

use crate::sim::JobNumber;
use crate::sim::action::Action;
use crate::sim::engine::Engine;
use crate::sim::heartbeat_response::HeartbeatResponse;
use crate::sim::shard_setup::new_shard;
use crate::sim::shard_store::ShardStore;

/// Default lease times of the scheduler process.
const LEASE_TTL: Millis = Millis::new(2_000);
const TASK_TTL: Millis = Millis::new(60_000);
/// Waiter id of calls whose reply is ignored.
const NO_WAITER: WaiterId = WaiterId::new(u64::MAX);

/// The real shard as a policy. Jobs are deduplicated by the journal, requests by tickets.
#[derive(Debug)]
pub(crate) struct ShardEngine {
    shard: Shard,
    workers: Vec<WorkerSpec>,
    specs: HashMap<WorkerId, WorkerSpec>,
    tickets: HashMap<JobNumber, Ticket>,
    store: ShardStore,
    wake_at: Option<Timestamp>,
    actions: Vec<Action>,
}

impl ShardEngine {
    pub(crate) fn new(policy: Policy, workers: Vec<WorkerSpec>, now: Timestamp) -> Self {
        let keyed_by_id = |spec: &WorkerSpec| (spec.worker.clone(), spec.clone());
        Self {
            shard: new_shard(policy, &workers, now),
            specs: workers.iter().map(keyed_by_id).collect(),
            workers,
            tickets: HashMap::new(),
            store: ShardStore::new(),
            wake_at: None,
            actions: Vec::new(),
        }
    }

    fn drive_store(&mut self, now: Timestamp) {
        let next = self.store.drive(&mut self.shard, now);
        let earlier = |at: &Timestamp| self.wake_at.is_none_or(|known| *at < known || known <= now);
        if let Some(at) = next.filter(earlier) {
            self.wake_at = Some(at);
            self.actions.push(Action::Wake { at });
        }
    }

    /// Converts the effects of the last call into actions.
    fn take_effects(&mut self, now: Timestamp) {
        let mut commit = false;
        loop {
            let effects = self.shard.take_effects();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                commit |= effect == Effect::Commit;
                self.apply(effect, now);
            }
        }
        if commit {
            self.drive_store(now);
        }
    }

    fn apply(&mut self, effect: Effect, now: Timestamp) {
        let action = match effect {
            Effect::Start { worker, task, spec } => {
                if !self.shard.may_use_worker(&worker, now) {
                    let result = StartResult::NotSent;
                    self.shard.on_start(&worker, &task, result, now);
                    return;
                }
                let job = job_number(&spec);
                Action::Start { worker, task, job }
            }
            Effect::Stop { worker, task } => Action::Stop { worker, task },
            // The shard never changes its owner and has no peers, so that no lease is released and no worker is lent.
            Effect::ReleaseLease { .. }
            | Effect::Borrow { .. }
            | Effect::StartForBorrower { .. } => return,
            Effect::Acknowledge { worker, tasks } => Action::Acknowledge { worker, tasks },
            Effect::Request {
                executor,
                work,
                spec,
                ..
            } => {
                if !self.shard.may_use_executor(&executor, now) {
                    let result = RequestResult::NotSent;
                    self.shard.on_request(&executor, &work, result, now);
                    return;
                }
                let job = job_number(&spec);
                Action::Request {
                    executor,
                    work,
                    job,
                }
            }
            Effect::Poll { executor } => Action::Poll { executor },
            Effect::Reply { waiter, reply } if waiter != NO_WAITER => {
                let job = JobNumber(waiter.get());
                if let Some(ticket) = self.tickets.remove(&job) {
                    self.shard.confirm_ticket(&ticket);
                }
                match reply {
                    Reply::Accepted { .. } => return,
                    Reply::Refused(refusal) => ended(job, Some(refusal.code)),
                    Reply::Ended { outcome, .. } => match outcome {
                        Outcome::Succeeded(_) => ended(job, None),
                        Outcome::Failed(_) => Action::Failed { job },
                        Outcome::Refused(refusal) => ended(job, Some(refusal.code)),
                    },
                }
            }
            Effect::Halt(refusal) => panic!("the shard stopped: {refusal}"),
            Effect::Reply { .. } | Effect::Commit => return,
        };
        self.actions.push(action);
    }
}

fn ended(job: JobNumber, failure: Option<ResultCode>) -> Action {
    Action::Ended { job, failure }
}

fn job_number(spec: &WorkSpec) -> JobNumber {
    let number = spec.payload.parse();
    number.expect("the payload of a job is its number")
}

impl Engine for ShardEngine {
    fn submit(&mut self, job: JobNumber, spec: &WorkSpec, now: Timestamp) {
        let deduplication = match spec.kind {
            WorkKind::Service => match self.shard.issue_tickets(1, now) {
                Ok(tickets) => Deduplication::Ticket(tickets[0].clone()),
                Err(refusal) => return self.actions.push(ended(job, Some(refusal.code))),
            },
            _ => Deduplication::Journal(crate::util::name::<RequestKey>(&format!("k{job}"))),
        };
        if let Deduplication::Ticket(ticket) = &deduplication {
            self.tickets.insert(job, ticket.clone());
        }
        let submission = Submission {
            deduplication,
            fingerprint: spec.fingerprint(),
            spec: spec.clone(),
            wait_for_end: true,
        };
        self.shard.submit(WaiterId::new(job.0), submission, now);
        self.take_effects(now);
    }

    fn cancel_half(&mut self, now: Timestamp) -> usize {
        let waiting = self.shard.list(None, Some("waiting"), usize::MAX);
        let half = waiting.into_iter().step_by(2);
        let works: Vec<WorkId> = half.map(|view| view.work).collect();
        for work in &works {
            self.shard.cancel(NO_WAITER, work, "load", now);
        }
        self.take_effects(now);
        works.len()
    }

    fn begin_heartbeat(&mut self, worker: &WorkerId, now: Timestamp) -> bool {
        let sending = self.shard.on_heartbeat_sending(worker, now);
        sending.is_some_and(|(_, sequence)| sequence.get() == 0)
    }

    fn heartbeat(
        &mut self,
        worker: &WorkerId,
        response: HeartbeatResponse,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        let Some(spec) = self.specs.get(worker) else {
            return;
        };
        let report = HeartbeatReport {
            sent_at,
            epoch: Epoch::new(1),
            incarnation: response.incarnation,
            rack: spec.rack.clone(),
            capacity: spec.capacity,
            ttl: LEASE_TTL,
            task_ttl: TASK_TTL,
            full: response.full,
            sequence: response.sequence,
            tasks: response.tasks,
            forgotten: Vec::new(),
            observed: response.observed,
        };
        self.shard.on_heartbeat(worker, report, now);
        self.take_effects(now);
    }

    fn heartbeat_lost(&mut self, worker: &WorkerId, now: Timestamp) {
        self.shard.on_heartbeat_lost(worker);
        self.take_effects(now);
    }

    fn on_start_result(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        result: StartResult,
        now: Timestamp,
    ) {
        self.shard.on_start(worker, task, result, now);
        self.take_effects(now);
    }

    fn on_request_result(
        &mut self,
        executor: &ExecutorId,
        work: &WorkId,
        result: RequestResult,
        now: Timestamp,
    ) {
        self.shard.on_request(executor, work, result, now);
        self.take_effects(now);
    }

    fn on_executor_status(&mut self, executor: &ExecutorId, in_use: u32, now: Timestamp) {
        self.shard.on_executor_status(executor, in_use, now);
        self.take_effects(now);
    }

    fn tick(&mut self, now: Timestamp) {
        let leaving = BTreeSet::new();
        self.shard.set_workers(&self.workers, &leaving, now);
        self.shard.tick(now);
        self.take_effects(now);
        self.drive_store(now);
    }

    fn wake(&mut self, now: Timestamp) {
        self.drive_store(now);
        self.take_effects(now);
    }

    fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    fn share_in_use(&self) -> f64 {
        use lagoon_core::unit::Resources;
        let workers = self.shard.view().workers;
        let sum = |part: fn(&lagoon_core::shard::WorkerView) -> Resources| {
            let parts = workers.iter().map(part);
            parts.fold(Resources::ZERO, Resources::saturating_add)
        };
        sum(|worker| worker.allocated).dominant_share(&sum(|worker| worker.capacity))
    }

    fn store_calls(&self) -> u64 {
        self.store.calls()
    }
}
