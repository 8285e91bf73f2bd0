use std::collections::BTreeMap;
use std::time::Instant;

use lagoon_core::code::ResultCode;
use lagoon_core::id::{ExecutorId, WorkerId};
use lagoon_core::shard::WorkerSpec;
use lagoon_core::unit::{Millis, Timestamp};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::report::Measurements;
use crate::sim::action::Action;
use crate::sim::engine::Engine;
use crate::sim::event::Event;
use crate::sim::event_queue::EventQueue;
use crate::sim::executor::Executor;
use crate::sim::fault::Fault;
use crate::sim::job::Job;
use crate::sim::job_number::JobNumber;
use crate::sim::worker::Worker;
use crate::workload::Stream;

/// Latency of a message between the scheduler and a host.
pub(super) const MESSAGE_LATENCY: Millis = Millis::new(1);
/// Interval between heartbeats to a worker.
pub(super) const HEARTBEAT_INTERVAL: Millis = Millis::new(500);
/// Interval between ticks.
const TICK_INTERVAL: Millis = Millis::new(100);

/// A simulated fleet with its offered load, under a policy.
pub(crate) struct Simulation {
    pub(super) engine: Box<dyn Engine>,
    pub(super) events: EventQueue,
    pub(super) workers: BTreeMap<WorkerId, Worker>,
    pub(super) executors: BTreeMap<ExecutorId, Executor>,
    pub(super) jobs: Vec<Job>,
    streams: Vec<(Stream, SmallRng)>,
    pub(super) measurements: Measurements,
    pub(super) now: Timestamp,
}

impl Simulation {
    /// Returns a simulation at time `start`. Each stream has its own random source, so that its work doesn't depend on
    /// the other streams.
    pub(crate) fn new(
        engine: Box<dyn Engine>,
        specs: &[WorkerSpec],
        streams: Vec<Stream>,
        seed: u64,
        start: Timestamp,
    ) -> Self {
        let mut events = EventQueue::default();
        events.add(start, Event::Tick);
        let mut workers = BTreeMap::new();
        let mut executors = BTreeMap::new();
        for (number, spec) in specs.iter().enumerate() {
            let offset = HEARTBEAT_INTERVAL.get() * number as u64 / specs.len() as u64;
            let at = start.after(Millis::new(offset));
            let worker = spec.worker.clone();
            events.add(at, Event::Heartbeat { worker });
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
        let mut simulation = Self {
            engine,
            events,
            workers,
            executors,
            jobs: Vec::new(),
            streams: seeded.collect(),
            measurements: Measurements::new(),
            now: start,
        };
        for stream in 0..simulation.streams.len() {
            simulation.schedule_arrival(stream);
        }
        simulation
    }

    /// Restricts the measurements to a window.
    pub(crate) fn set_measurement_window(&mut self, from: Timestamp, until: Timestamp) {
        self.measurements.set_window(from, until);
    }

    /// Schedules a fault.
    pub(crate) fn schedule_fault(&mut self, at: Timestamp, fault: Fault) {
        self.events.add(at, Event::Fault(fault));
    }

    /// Runs until `end` and returns the measurements.
    pub(crate) fn run(mut self, end: Timestamp) -> Measurements {
        while let Some((at, event)) = self.events.next(end) {
            self.now = at;
            self.handle(event);
        }
        self.measurements.store_calls = self.engine.store_calls();
        self.measurements.finish(&self.jobs, end);
        self.measurements
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { stream } => self.arrive(stream),
            Event::Heartbeat { worker } => self.heartbeat(worker),
            Event::Tick => {
                self.call_engine(|engine, now| engine.tick(now));
                self.events.add(self.now.after(TICK_INTERVAL), Event::Tick);
            }
            Event::Wake => self.call_engine(|engine, now| engine.wake(now)),
            Event::Fault(fault) => self.set_fault(fault),
            host => self.handle_host(host),
        }
    }

    /// Calls the policy, measures the cost of the call and applies the resulting actions.
    pub(super) fn call_engine(&mut self, call: impl FnOnce(&mut dyn Engine, Timestamp)) {
        let started_at = Instant::now();
        call(self.engine.as_mut(), self.now);
        let elapsed = started_at.elapsed();
        let actions = self.engine.take_actions();
        let is_start =
            |action: &&Action| matches!(action, Action::Start { .. } | Action::Request { .. });
        let starts = actions.iter().filter(is_start).count();
        self.measurements.record_call(elapsed, starts);
        for action in actions {
            self.apply(action);
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
            expired_at: None,
            run: Millis::new(run),
            used_percent,
        });
        self.schedule_arrival(stream);
        self.call_engine(|engine, now| engine.submit(number, &spec, now));
    }

    fn schedule_arrival(&mut self, stream: usize) {
        let (source, rng) = &mut self.streams[stream];
        if source.max_arrivals == 0 {
            return;
        }
        source.max_arrivals -= 1;
        if let Some(at) = source.next_arrival(self.now, rng) {
            self.events.add(at, Event::Arrival { stream });
        }
    }

    fn apply(&mut self, action: Action) {
        let arrival = self.now.after(MESSAGE_LATENCY);
        match action {
            Action::Start { worker, task, job } => {
                self.record_start(job);
                let event = Event::StartArrives { worker, task, job };
                self.events.add(arrival, event);
            }
            Action::Request {
                executor,
                work,
                job,
            } => {
                self.record_start(job);
                let event = Event::RequestArrives {
                    executor,
                    work,
                    job,
                };
                self.events.add(arrival, event);
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
                self.events.add(arrival, event);
            }
            Action::Wake { at } => self.events.add(at, Event::Wake),
            Action::Ended { job, failure } => {
                let now = self.now;
                let entry = &mut self.jobs[job.index()];
                entry.ended = true;
                entry.expired_at = (failure == Some(ResultCode::DeadlinePassed)).then_some(now);
                let share = || self.engine.share_in_use();
                let job = &self.jobs[job.index()];
                self.measurements.record_end(job, failure, share);
            }
            Action::Failed { job } => {
                self.jobs[job.index()].ended = true;
                self.measurements.record_failure(&self.jobs[job.index()]);
            }
        }
    }

    fn record_start(&mut self, job: JobNumber) {
        let now = self.now;
        let job = &mut self.jobs[job.index()];
        job.started.get_or_insert(now);
    }
}
