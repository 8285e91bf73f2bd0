use std::collections::BTreeMap;
use std::time::Instant;

use lagoon_core::code::ResultCode;
use lagoon_core::id::{ExecutorId, WorkerId};
use lagoon_core::shard::WorkerSpec;
use lagoon_core::unit::{Millis, Timestamp};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::report::Measures;
use crate::sim::action::Action;
use crate::sim::engine::Engine;
use crate::sim::event::Event;
use crate::sim::executor::Executor;
use crate::sim::fault::Fault;
use crate::sim::job::Job;
use crate::sim::job_number::JobNumber;
use crate::sim::timeline::Timeline;
use crate::sim::worker::Worker;
use crate::workload::Stream;

/// Time of a message between the scheduler and a host.
pub(super) const MESSAGE: Millis = Millis::new(1);
/// Time between two heartbeats to a worker.
pub(super) const HEARTBEAT: Millis = Millis::new(500);
/// Time between two ticks.
const TICK: Millis = Millis::new(100);

/// A fleet, a policy and the work that arrives.
pub(crate) struct World {
    pub(super) engine: Box<dyn Engine>,
    pub(super) timeline: Timeline,
    pub(super) workers: BTreeMap<WorkerId, Worker>,
    pub(super) executors: BTreeMap<ExecutorId, Executor>,
    pub(super) jobs: Vec<Job>,
    streams: Vec<(Stream, SmallRng)>,
    pub(super) measures: Measures,
    pub(super) now: Timestamp,
}

impl World {
    /// Builds the hosts; each stream gets a random source of its own, so that the same work arrives whatever else does.
    pub(crate) fn new(
        engine: Box<dyn Engine>,
        specs: &[WorkerSpec],
        streams: Vec<Stream>,
        seed: u64,
        start: Timestamp,
    ) -> Self {
        let mut timeline = Timeline::default();
        timeline.add(start, Event::Tick);
        let mut workers = BTreeMap::new();
        let mut executors = BTreeMap::new();
        for (number, spec) in specs.iter().enumerate() {
            let offset = HEARTBEAT.get() * number as u64 / specs.len() as u64;
            let at = start.after(Millis::new(offset));
            let worker = spec.worker.clone();
            timeline.add(at, Event::Heartbeat { worker });
            for executor in &spec.executors {
                let (worker, slots) = (spec.worker.clone(), executor.slots);
                let new = Executor {
                    worker,
                    slots,
                    in_use: 0,
                };
                executors.insert(executor.executor.clone(), new);
            }
            workers.insert(spec.worker.clone(), Worker::new(spec.clone()));
        }
        let seeded = streams.into_iter().enumerate().map(|(number, stream)| {
            let seed = seed.wrapping_mul(1_000).wrapping_add(number as u64);
            (stream, SmallRng::seed_from_u64(seed))
        });
        let mut world = Self {
            engine,
            timeline,
            workers,
            executors,
            jobs: Vec::new(),
            streams: seeded.collect(),
            measures: Measures::new(),
            now: start,
        };
        for stream in 0..world.streams.len() {
            world.plan_arrival(stream);
        }
        world
    }

    /// Measures only work that is submitted in this time.
    pub(crate) fn measure_from(&mut self, from: Timestamp, until: Timestamp) {
        self.measures.set_window(from, until);
    }

    /// Plans a fault.
    pub(crate) fn add_fault(&mut self, at: Timestamp, fault: Fault) {
        self.timeline.add(at, Event::Fault(fault));
    }

    /// Runs until `end` and returns what was measured.
    pub(crate) fn run(mut self, end: Timestamp) -> Measures {
        while let Some((at, event)) = self.timeline.next(end) {
            self.now = at;
            self.handle(event);
        }
        self.measures.store_calls = self.engine.store_calls();
        self.measures.finish(&self.jobs, end);
        self.measures
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { stream } => self.arrive(stream),
            Event::Heartbeat { worker } => self.heartbeat(worker),
            Event::Tick => {
                self.call(|engine, now| engine.tick(now));
                self.timeline.add(self.now.after(TICK), Event::Tick);
            }
            Event::Wake => self.call(|engine, now| engine.wake(now)),
            Event::Fault(fault) => self.set_fault(fault),
            host => self.handle_host(host),
        }
    }

    /// Calls the policy, measures its cost and carries out its actions.
    pub(super) fn call(&mut self, call: impl FnOnce(&mut dyn Engine, Timestamp)) {
        let began = Instant::now();
        call(self.engine.as_mut(), self.now);
        let took = began.elapsed();
        let actions = self.engine.take_actions();
        let is_start =
            |action: &&Action| matches!(action, Action::Start { .. } | Action::Request { .. });
        let starts = actions.iter().filter(is_start).count();
        self.measures.record_call(took, starts);
        for action in actions {
            self.act(action);
        }
    }

    fn arrive(&mut self, stream: usize) {
        let now = self.now;
        let number = JobNumber(self.jobs.len() as u64);
        let (source, rng) = &mut self.streams[stream];
        let spec = source.draw(number, now, rng);
        let run = spec.run_time.get() * source.draw_error(rng) / 100;
        let used_percent = source.draw_error(rng);
        let flood = source.flood;
        self.jobs.push(Job {
            spec: spec.clone().into(),
            flood,
            submitted: now,
            started: None,
            ended: false,
            expired: None,
            run: Millis::new(run),
            used_percent,
        });
        self.plan_arrival(stream);
        self.call(|engine, now| engine.submit(number, &spec, now));
    }

    fn plan_arrival(&mut self, stream: usize) {
        let (source, rng) = &mut self.streams[stream];
        if source.at_most == 0 {
            return;
        }
        source.at_most -= 1;
        if let Some(at) = source.next_arrival(self.now, rng) {
            self.timeline.add(at, Event::Arrival { stream });
        }
    }

    fn act(&mut self, action: Action) {
        let arrival = self.now.after(MESSAGE);
        match action {
            Action::Start { worker, task, job } => {
                self.note_start(job);
                let event = Event::StartArrives { worker, task, job };
                self.timeline.add(arrival, event);
            }
            Action::Request {
                executor,
                work,
                job,
            } => {
                self.note_start(job);
                let event = Event::RequestArrives {
                    executor,
                    work,
                    job,
                };
                self.timeline.add(arrival, event);
            }
            Action::Stop { worker, task } => {
                if let Some(worker) = self.workers.get_mut(&worker) {
                    worker.stop(&task);
                }
            }
            Action::Acknowledge { worker, tasks } => {
                if let Some(worker) = self.workers.get_mut(&worker) {
                    worker.forget(&tasks);
                }
            }
            Action::Poll { executor } => {
                let event = Event::Status { executor };
                self.timeline.add(arrival, event);
            }
            Action::Wake { at } => self.timeline.add(at, Event::Wake),
            Action::Ended { job, failure } => {
                let now = self.now;
                let known = &mut self.jobs[job.index()];
                known.ended = true;
                known.expired = (failure == Some(ResultCode::DeadlinePassed)).then_some(now);
                let share = || self.engine.share_in_use();
                let job = &self.jobs[job.index()];
                self.measures.record_end(job, failure, share);
            }
            Action::Failed { job } => {
                self.jobs[job.index()].ended = true;
                self.measures.record_failure(&self.jobs[job.index()]);
            }
        }
    }

    fn note_start(&mut self, job: JobNumber) {
        let now = self.now;
        let job = &mut self.jobs[job.index()];
        job.started.get_or_insert(now);
    }
}
