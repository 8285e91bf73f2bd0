//! Simulated executors, store and network in virtual time, driven by a seed.

mod delayed_event;
mod fleet;
mod long_running;
mod previous_owner;
mod record;
mod requests;
mod sim_connection;

use std::collections::{BTreeMap, BTreeSet};

use lagoon_core::unit::{Millis, Timestamp};
use lagoon_jobs::dispatch::{DispatchLimits, Dispatcher, Effect, HoldAction, Serving};
use lagoon_jobs::fleet::{ExecutorEntry, ExecutorRecord, ExecutorSlot};
use lagoon_jobs::id::{Epoch, ExecutorId, JobId, StepKey, TaskKey};
use lagoon_jobs::job::{JobRecord, Progress};
use lagoon_jobs::spec::{JobSpec, StepSpec};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use self::delayed_event::DelayedEvent;
use self::previous_owner::PreviousOwner;
use self::sim_connection::SimConnection;
use crate::harness::{job_id, limits, step};
use crate::sim_executor::SimExecutor;
use crate::sim_gangs::SimGangs;
use crate::sim_kind::SimKind;

const EXECUTORS: usize = 5;
const CORES: u64 = 8;
/// Length of one step of virtual time in milliseconds.
const STEP_MS: u64 = 25;

pub(crate) struct Sim {
    limits: DispatchLimits,
    rng: SmallRng,
    seed: u64,
    now: Timestamp,
    epoch: u64,
    dispatcher: Dispatcher<Serving>,
    /// The last owner, which does not know yet that it was replaced.
    previous: Option<PreviousOwner>,
    executors: Vec<SimExecutor>,
    delayed: Vec<(Timestamp, DelayedEvent)>,
    records: BTreeMap<JobId, JobRecord>,
    progress: BTreeMap<JobId, Progress>,
    cancelled: BTreeSet<JobId>,
    gangs: SimGangs,
    /// Stored records of executors.
    executor_records: BTreeMap<ExecutorId, ExecutorRecord>,
    /// Entries in the registry, which lag behind restarts.
    registered: Vec<ExecutorEntry>,
    /// Executors that are not in the registry although they are running.
    unlisted: BTreeSet<usize>,
    /// Tasks whose end was acknowledged as done. One such end counts for all tasks of a gang.
    acknowledged_done: BTreeSet<TaskKey>,
    fault_free: bool,
    /// Whether some jobs have tasks that run until they are cancelled.
    has_long_running: bool,
    /// Connections on which executors have listed their runs to the current owner.
    connections: BTreeMap<usize, SimConnection>,
}

impl Sim {
    pub(crate) fn new(seed: u64) -> Self {
        let now = Timestamp::from_millis(1_000);
        let name = |number: usize| format!("e{number}").parse::<ExecutorId>().unwrap();
        // The longest leases of the users' deployments.
        let max_lease = Millis::new([6_000, 10_000][(seed % 2) as usize]);
        let limits = DispatchLimits {
            max_lease,
            ..limits()
        };
        let executors: Vec<SimExecutor> = (0..EXECUTORS)
            .map(|i| SimExecutor::new(name(i), CORES, limits.max_lease, now))
            .collect();
        let mut sim = Self {
            limits,
            rng: SmallRng::seed_from_u64(seed),
            seed,
            now,
            epoch: 0,
            dispatcher: Dispatcher::open(Epoch::new(0), limits, now).serve(now),
            previous: None,
            registered: executors.iter().map(SimExecutor::entry).collect(),
            executors,
            delayed: Vec::new(),
            records: BTreeMap::new(),
            progress: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            gangs: SimGangs::default(),
            executor_records: BTreeMap::new(),
            unlisted: BTreeSet::new(),
            acknowledged_done: BTreeSet::new(),
            fault_free: false,
            has_long_running: false,
            connections: BTreeMap::new(),
        };
        sim.take_over();
        sim
    }

    /// Runs with faults.
    pub(crate) fn run_with_faults(&mut self, ms: u64) {
        for number in 0..ms / STEP_MS {
            if self.rng.random_bool(0.25) && self.records.len() < 60 {
                self.submit(number);
            }
            if self.rng.random_bool(0.005) {
                self.cancel_one();
            }
            if self.rng.random_bool(0.004) {
                let i = self.rng.random_range(0..EXECUTORS);
                self.restart(i);
            }
            if self.rng.random_bool(0.006) {
                let i = self.rng.random_range(0..EXECUTORS);
                let ms = self.rng.random_range(500..8_000);
                self.executors[i].unresponsive_until = self.now.after(Millis::new(ms));
            }
            if self.rng.random_bool(0.004) {
                let i = self.rng.random_range(0..EXECUTORS);
                let ms = self.rng.random_range(200..3_000);
                self.executors[i].mute_until = self.now.after(Millis::new(ms));
            }
            if self.rng.random_bool(0.003) {
                self.restart_behind_a_cut();
            }
            if self.rng.random_bool(0.004) {
                let i = self.rng.random_range(0..EXECUTORS);
                self.unlist(i);
            }
            if self.rng.random_bool(0.01) {
                self.list_all();
            }
            self.take_over_at_random();
            self.step();
        }
    }

    /// Runs without faults until every job has ended.
    pub(crate) fn run_to_completion(&mut self, ms: u64) {
        self.fault_free = true;
        self.previous = None;
        self.restore_kinds();
        self.list_all();
        self.cancel_long_running(ms);
        for _ in 0..ms / STEP_MS {
            self.step();
            let ended = |id: &JobId| {
                self.dispatcher
                    .job(*id)
                    .is_some_and(|view| view.state.is_final())
            };
            if self.records.keys().all(ended) {
                return;
            }
        }
        let open: Vec<String> = self
            .records
            .keys()
            .filter_map(|id| Some((id, self.dispatcher.job(*id)?.state)))
            .filter(|(_, state)| !state.is_final())
            .map(|(id, state)| format!("{id} {state}"))
            .collect();
        panic!("seed {}: jobs do not end: {open:?}", self.seed);
    }

    fn take_over_at_random(&mut self) {
        if self.has_long_running && self.rng.random_bool(0.002) {
            self.take_over_beside_a_cut();
        }
        let probability = if self.has_long_running { 0.001 } else { 0.004 };
        if self.rng.random_bool(probability) {
            self.take_over();
        }
    }

    fn submit(&mut self, number: u64) {
        if self.has_long_running && self.rng.random_bool(0.3) {
            return self.submit_long_running(number);
        }
        let id = job_id(number + 1);
        let count = self.rng.random_range(1..=4);
        let need = self.rng.random_range(1..=3);
        let gang = self.rng.random_bool(0.25);
        let requires = !gang && self.rng.random_bool(0.2);
        let first = StepSpec {
            gang,
            requires: requires.then(|| SimKind::A.label()),
            saves_progress: self.rng.random_bool(0.5),
            ..step(count, need)
        };
        let mut steps = vec![first];
        if self.rng.random_bool(0.4) {
            steps.push(StepSpec {
                after: [0].into_iter().collect(),
                ..step(2, 1)
            });
        }
        let queue = ["urgent", "bulk", "advised", "medium", "quick"][self.rng.random_range(0..5)];
        let spec = JobSpec::new("payload", steps, None).unwrap();
        let record = JobRecord::new(queue.parse().unwrap(), self.now, spec)
            .under(Some(Epoch::new(self.epoch)));
        self.records.insert(id, record.clone());
        self.dispatcher.submit(id, record, self.now);
    }

    fn cancel_one(&mut self) {
        let count = self.records.len();
        if count == 0 {
            return;
        }
        let i = self.rng.random_range(0..count);
        let id = *self.records.keys().nth(i).unwrap();
        self.cancelled.insert(id);
        self.dispatcher.cancel(id, self.now);
    }

    fn step(&mut self) {
        self.now = self.now.after(Millis::new(STEP_MS));
        self.dispatcher.confirm_ownership(self.now);
        self.deliver_delayed();
        self.end_due_runs();
        self.send_holds();
        self.record();
        if self.now.as_millis() % 500 < STEP_MS {
            self.dispatcher.tick(self.now);
        }
        self.step_previous();
        self.dispatcher.plan(self.now);
        for effect in self.dispatcher.take_effects() {
            match effect {
                Effect::Start(start) => self.send_start(start),
                Effect::Stop(stop) => self.send_stop(&stop),
                Effect::RequestAdvice(request) => self.send_advice_request(request),
                Effect::LookUpJob(id) => self.look_up_job(id),
                Effect::StepDown => {}
            }
        }
    }

    fn end_due_runs(&mut self) {
        for executor in &mut self.executors {
            executor.end_due_runs(self.now);
        }
        let records = &self.records;
        let count =
            |step: StepKey| records[&step.job()].spec().steps()[usize::from(step.step())].count;
        let (rng, fault_free) = (&mut self.rng, self.fault_free);
        let draw = || (draw_run_time(rng), !fault_free && rng.random_bool(0.1));
        self.gangs
            .advance(&mut self.executors, count, draw, self.now);
    }

    fn send_holds(&mut self) {
        for i in 0..EXECUTORS {
            let slot = ExecutorSlot::new(i as u32);
            let overdue = self.now.as_millis() % 400 < STEP_MS;
            let HoldAction::Hold(req) = self.dispatcher.next_hold(slot, overdue, self.now) else {
                continue;
            };
            if self.executors[i].is_unresponsive(self.now) {
                self.dispatcher.hold_failed(slot, self.now);
                continue;
            }
            let done = self.executors[i].done_up_to(req.acknowledged);
            self.note_acknowledged(done);
            let listing = self.executors[i].hold(&req, self.now);
            if self.executors[i].is_mute(self.now) {
                self.dispatcher.hold_failed(slot, self.now);
            } else if let Some(listing) = listing {
                let sent_at = Timestamp::from_millis(self.now.as_millis() - 1);
                self.dispatcher.listed(slot, &listing, sent_at, self.now);
                self.keep_connection(i);
            }
        }
    }
}

/// Returns a run time; a third of the runs last longer than a lease.
fn draw_run_time(rng: &mut SmallRng) -> Millis {
    let range = match rng.random_ratio(1, 3) {
        true => 2_500..15_000,
        false => 200..2_500,
    };
    Millis::new(rng.random_range(range))
}
