use std::sync::Arc;

use lagoon_core::unit::{Bytes, Millicores, Millis, Resources, Timestamp};
use lagoon_jobs::advice::AdviceResponse;
use lagoon_jobs::dispatch::{
    AdviceRequest, DispatchLimits, Dispatcher, Effect, HoldAction, Recovering, Serving,
    StartRequest, StopRequest,
};
use lagoon_jobs::fleet::{ExecutorEntry, ExecutorSlot};
use lagoon_jobs::id::{Epoch, Incarnation, JobId, MemberId, RunNumber, TaskKey};
use lagoon_jobs::job::{JobRecord, JobState, Progress};
use lagoon_jobs::policy::{AdviceCost, CellPolicy, Queue, Service};
use lagoon_jobs::record::RecordLane;
use lagoon_jobs::run::{ActiveRun, EndedRun, Listing, RunOutcome, StartOutcome};
use lagoon_jobs::spec::{JobSpec, StepSpec};

pub(crate) const LEASE: Millis = Millis::new(5_000);
pub(crate) const MAX_LEASE: Millis = Millis::new(6_000);

/// A serving dispatcher with a clock that the test advances.
pub(crate) struct Harness {
    pub(crate) dispatcher: Dispatcher<Serving>,
    pub(crate) now: Timestamp,
    sequences: Vec<u64>,
}

pub(crate) fn limits() -> DispatchLimits {
    DispatchLimits {
        lease: LEASE,
        max_lease: MAX_LEASE,
        max_request_delay: Millis::new(12_000),
        hold_wait: Millis::new(1_500),
        retention: Millis::new(120_000),
        cancellation_retention: Millis::new(30_000),
        owner_lease: Millis::new(1_100),
        lease_renewal_window: Millis::new(3_000),
        stall_timeout: Millis::new(4_500),
        record_lanes: 2,
    }
}

/// Returns queues of one service: "urgent" and "bulk", which has a higher rank, without advice; "advised", "medium" and
/// "quick" with advice that takes 300, 100 and 10 ms.
pub(crate) fn policy() -> Arc<CellPolicy> {
    let urgent = Queue {
        max_failures: 2,
        ..Queue::example("urgent", "a.example", "/urgent/")
    };
    let bulk = Queue {
        rank: 2,
        ..Queue::example("bulk", "a.example", "/bulk/")
    };
    let advised = Queue {
        rank: 1,
        advice: Some(AdviceCost {
            fixed: Millis::new(300),
            per_executor_ms: 5.0,
        }),
        ..Queue::example("advised", "a.example", "/advised/")
    };
    let cheaper = |name: &str, prefix: &str, fixed| Queue {
        rank: 2,
        advice: Some(AdviceCost {
            fixed: Millis::new(fixed),
            per_executor_ms: 0.1,
        }),
        ..Queue::example(name, "a.example", prefix)
    };
    let medium = cheaper("medium", "/medium/", 100);
    let quick = cheaper("quick", "/quick/", 10);
    let service = Service {
        name: "service".parse().unwrap(),
    };
    Arc::new(CellPolicy::new(
        1,
        vec![urgent, bulk, advised, medium, quick],
        vec![service],
    ))
}

pub(crate) fn cores(count: u64) -> Resources {
    Resources::new(Millicores::new(count * 1_000), Bytes::new(count << 30))
}

pub(crate) fn entry(id: &str, capacity: u64) -> ExecutorEntry {
    ExecutorEntry {
        id: id.parse().unwrap(),
        service: "service".parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        labels: ["a", "r1"]
            .map(|label| label.parse().unwrap())
            .into_iter()
            .collect(),
        rack: Some("r1".parse().unwrap()),
        capacity: cores(capacity),
        draining: false,
        incarnation: Some(Incarnation::new(1)),
    }
}

pub(crate) fn job_id(number: u64) -> JobId {
    JobId::new(number)
}

pub(crate) fn step(count: u32, need: u64) -> StepSpec {
    StepSpec {
        count,
        need: cores(need),
        estimate: Millis::new(1_000),
        ..StepSpec::single()
    }
}

pub(crate) fn record(queue: &str, steps: Vec<StepSpec>) -> JobRecord {
    let spec = JobSpec::new("payload", steps, None).unwrap();
    let policy = policy();
    let queue = policy.queue(&queue.parse().unwrap()).unwrap();
    JobRecord::accept(queue, Timestamp::from_millis(1_000), spec)
}

pub(crate) fn recovering(epoch: u64, executors: &[(&str, u64)]) -> Dispatcher<Recovering> {
    let now = Timestamp::from_millis(1_000);
    let mut dispatcher = Dispatcher::open(Epoch::new(epoch), limits(), now);
    dispatcher.set_policy(policy());
    dispatcher.set_members(&["m1", "m2", "m3"].map(|id| id.parse::<MemberId>().unwrap()));
    for (id, capacity) in executors {
        dispatcher.observe(entry(id, *capacity), now);
    }
    dispatcher
}

pub(crate) fn listing(now: Timestamp, running: &[(TaskKey, u64)], ended: Vec<EndedRun>) -> Listing {
    let active_run = |(task, number): &(TaskKey, u64)| ActiveRun {
        task: *task,
        number: RunNumber::new(*number),
        checkpoint: None,
        percent: (now.as_millis() / 100 % 100) as u32,
    };
    Listing {
        incarnation: Some(Incarnation::new(1)),
        executor_ms: now.as_millis(),
        running: running.iter().map(active_run).collect(),
        ended,
        complete: true,
    }
}

pub(crate) fn end(sequence: u64, task: TaskKey, number: u64, outcome: RunOutcome) -> EndedRun {
    EndedRun {
        sequence,
        task,
        number: RunNumber::new(number),
        outcome,
        checkpoint: None,
    }
}

impl Harness {
    /// Creates a harness with executors that run nothing.
    pub(crate) fn with(executors: &[(&str, u64)]) -> Self {
        let dispatcher = recovering(1, executors);
        let mut harness = Self::serve(dispatcher);
        for slot in 0..executors.len() as u32 {
            harness.list(slot, &[], Vec::new());
        }
        harness
    }

    pub(crate) fn serve(dispatcher: Dispatcher<Recovering>) -> Self {
        let now = Timestamp::from_millis(1_000);
        let mut harness = Self {
            dispatcher: dispatcher.serve(now),
            now,
            sequences: vec![0; 64],
        };
        harness.record_executors();
        harness
    }

    /// Stores the records of all executors that have none.
    pub(crate) fn record_executors(&mut self) {
        let new = self.dispatcher.unrecorded_executors(usize::MAX);
        self.dispatcher.executors_recorded(&new);
    }

    /// Advances the clock, with the ownership confirmed by the store.
    pub(crate) fn advance(&mut self, ms: u64) {
        self.now = self.now.after(Millis::new(ms));
        self.dispatcher.confirm_ownership(self.now);
    }

    pub(crate) fn submit(&mut self, number: u64, queue: &str, steps: Vec<StepSpec>) -> JobId {
        let id = job_id(number);
        let record = record(queue, steps).under(Some(self.dispatcher.epoch()));
        self.dispatcher.submit(id, record, self.now);
        id
    }

    /// Delivers the list of an executor, in answer to a hold sent 10 ms before.
    pub(crate) fn list(&mut self, slot: u32, running: &[(TaskKey, u64)], ended: Vec<EndedRun>) {
        let sent_at = self.now;
        self.advance(10);
        let listing = listing(self.now, running, ended);
        self.dispatcher
            .listed(ExecutorSlot::new(slot), &listing, sent_at, self.now);
    }

    /// Delivers the entry that an incarnation of an executor has written.
    pub(crate) fn register(&mut self, id: &str, capacity: u64, incarnation: u64) {
        let entry = ExecutorEntry {
            incarnation: Some(Incarnation::new(incarnation)),
            ..entry(id, capacity)
        };
        self.dispatcher.observe(entry, self.now);
    }

    /// Delivers a list with the next end of an executor.
    pub(crate) fn ended(&mut self, request: &StartRequest, outcome: RunOutcome) {
        let slot = request.slot.index();
        self.sequences[slot] += 1;
        let ended = end(
            self.sequences[slot],
            request.task,
            request.number.get(),
            outcome,
        );
        self.list(request.slot.get(), &[], vec![ended]);
    }

    pub(crate) fn plan(&mut self) -> Vec<Effect> {
        self.advance(1);
        self.dispatcher.plan(self.now);
        self.dispatcher.take_effects()
    }

    /// Plans and confirms every start.
    pub(crate) fn start_all(&mut self) -> Vec<StartRequest> {
        let starts = starts(&self.plan());
        for request in &starts {
            self.advance(1);
            self.dispatcher.started(request, self.confirmed(), self.now);
        }
        starts
    }

    /// Returns the outcome of a start that the executor confirms now.
    pub(crate) fn confirmed(&self) -> StartOutcome {
        let executor_ms = Some(self.now.as_millis());
        StartOutcome::Started { executor_ms }
    }

    /// Answers a request for advice: all executors in it are suitable.
    pub(crate) fn advise(&mut self, request: &AdviceRequest, valid_ms: u64) {
        let good = request
            .executors
            .iter()
            .map(|(_, id)| (id.clone(), "t".parse().unwrap()));
        let answer = AdviceResponse {
            good: good.collect(),
            valid: Millis::new(valid_ms),
        };
        self.dispatcher
            .advice_received(request, Some(&answer), self.now);
    }

    /// Stores all progress that waits to be written, and returns it.
    pub(crate) fn record_all(&mut self) -> Vec<(JobId, Progress)> {
        let lanes = RecordLane::all();
        let batch: Vec<_> = lanes
            .flat_map(|lane| self.dispatcher.take_records(lane, 100))
            .collect();
        let jobs: Vec<_> = batch.iter().map(|(id, number, _)| (*id, *number)).collect();
        self.dispatcher.recorded(&jobs);
        batch
            .into_iter()
            .map(|(id, _, progress)| (id, progress))
            .collect()
    }

    pub(crate) fn state(&self, id: JobId) -> JobState {
        self.dispatcher.job(id).unwrap().state
    }

    pub(crate) fn acknowledged(&mut self, slot: u32) -> Option<u64> {
        let slot = ExecutorSlot::new(slot);
        match self.dispatcher.next_hold(slot, true, self.now) {
            HoldAction::Hold(req) => Some(req.acknowledged),
            HoldAction::AwaitRecord | HoldAction::Idle => None,
        }
    }
}

pub(crate) fn starts(effects: &[Effect]) -> Vec<StartRequest> {
    let start = |effect: &Effect| match effect {
        Effect::Start(start) => Some(start.clone()),
        _ => None,
    };
    effects.iter().filter_map(start).collect()
}

pub(crate) fn stops(effects: &[Effect]) -> Vec<StopRequest> {
    let stop = |effect: &Effect| match effect {
        Effect::Stop(stop) => Some(stop.clone()),
        _ => None,
    };
    effects.iter().filter_map(stop).collect()
}

pub(crate) fn advice_requests(effects: &[Effect]) -> Vec<AdviceRequest> {
    let request = |effect: &Effect| match effect {
        Effect::RequestAdvice(request) => Some(request.clone()),
        _ => None,
    };
    effects.iter().filter_map(request).collect()
}

/// Returns the number of starts within a time, with ticks and placement passes.
pub(crate) fn starts_within(harness: &mut Harness, ms: u64) -> usize {
    let end = harness.now.after(Millis::new(ms));
    let mut count = 0;
    while harness.now < end {
        harness.dispatcher.tick(harness.now);
        count += starts(&harness.plan()).len();
    }
    count
}
