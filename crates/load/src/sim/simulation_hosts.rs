//! Simulation of the hosts: workers, executors and their faults.

use lagoon_core::id::{Epoch, ExecutorId, TaskId, WorkId, WorkerId};
use lagoon_core::shard::{RequestResult, StartResult, TaskPhase};
use lagoon_core::unit::{Bytes, Millicores, Millis, Resources};

use crate::sim::event::Event;
use crate::sim::fault::Fault;
use crate::sim::job_number::JobNumber;
use crate::sim::shard_setup::shard_id;
use crate::sim::simulation::{HEARTBEAT_INTERVAL, MESSAGE_LATENCY, Simulation};

/// Timeout of a start without response.
const START_TIMEOUT: Millis = Millis::new(1_000);
/// Timeout of a connection to a lost host.
const CONNECT_TIMEOUT: Millis = Millis::new(1_000);
/// Timeout of a request; the default of a service.
const REQUEST_TIMEOUT: Millis = Millis::new(30_000);
/// Run time of a task on a failing worker until it fails.
const FAILURE_DELAY: Millis = Millis::new(50);

impl Simulation {
    pub(super) fn handle_host(&mut self, event: Event) {
        match event {
            Event::StartArrives { worker, task, job } => self.start(worker, task, job),
            Event::StartResponse {
                worker,
                task,
                result,
            } => {
                self.call_engine(|engine, now| engine.on_start_result(&worker, &task, result, now))
            }
            Event::TaskEnd { worker, task } => {
                if let Some(worker) = self.workers.get_mut(&worker).filter(|w| !w.lost) {
                    let failed = worker.is_failing;
                    worker.end(
                        &task,
                        match failed {
                            true => TaskPhase::Failed("load".to_owned()),
                            false => TaskPhase::Succeeded(String::new()),
                        },
                    );
                }
            }
            Event::RequestArrives {
                executor,
                work,
                job,
            } => self.request(executor, work, job),
            Event::RequestEnd { executor, work } => self.end_request(executor, work),
            Event::RequestFailed {
                executor,
                work,
                result,
            } => self
                .call_engine(|engine, now| engine.on_request_result(&executor, &work, result, now)),
            Event::Status { executor } => {
                let known = self.executors.get(&executor);
                let in_use = known.map_or(0, |executor| executor.in_use);
                self.call_engine(|engine, now| engine.on_executor_status(&executor, in_use, now));
            }
            _ => {}
        }
    }

    fn start(&mut self, worker: WorkerId, task: TaskId, number: JobNumber) {
        let job = &self.jobs[number.index()];
        let scaled = |part: u64| part * job.used_percent / 100;
        let resources = job.spec.resources;
        let observed = Resources::new(
            Millicores::new(scaled(resources.cpu.get())),
            Bytes::new(scaled(resources.memory.get())),
        );
        let mut run = job.run;
        let Some(host) = self.workers.get_mut(&worker) else {
            return;
        };
        let (delay, result) = match host.lost {
            true => (START_TIMEOUT, StartResult::Unknown),
            false if host.is_failing && number.0.is_multiple_of(2) => {
                (MESSAGE_LATENCY, StartResult::StartFailed)
            }
            false => (MESSAGE_LATENCY, host.start(&task, resources, observed)),
        };
        if host.is_failing {
            run = FAILURE_DELAY;
        }
        if result == StartResult::Known(TaskPhase::Running) {
            let (worker, task) = (worker.clone(), task.clone());
            let event = Event::TaskEnd { worker, task };
            self.events.add(self.now.after(run), event);
        }
        self.measurements.record_start_result(&result);
        let event = Event::StartResponse {
            worker,
            task,
            result,
        };
        self.events.add(self.now.after(delay), event);
    }

    fn request(&mut self, executor: ExecutorId, work: WorkId, number: JobNumber) {
        let run = self.jobs[number.index()].run;
        let Some(host) = self.executors.get_mut(&executor) else {
            return;
        };
        if self.workers.get(&host.worker).is_some_and(|w| w.lost) {
            let result = RequestResult::NotSent;
            return self.fail_request(executor, work, result, CONNECT_TIMEOUT);
        }
        if host.in_use >= host.slots {
            let result = RequestResult::Refused;
            self.call_engine(|engine, now| engine.on_request_result(&executor, &work, result, now));
            return;
        }
        host.in_use += 1;
        let event = Event::RequestEnd { executor, work };
        self.events.add(self.now.after(run), event);
    }

    fn end_request(&mut self, executor: ExecutorId, work: WorkId) {
        let Some(host) = self.executors.get_mut(&executor) else {
            return;
        };
        host.in_use = host.in_use.saturating_sub(1);
        if self.workers.get(&host.worker).is_some_and(|w| w.lost) {
            let result = RequestResult::TimedOut;
            return self.fail_request(executor, work, result, REQUEST_TIMEOUT);
        }
        let result = RequestResult::Answered(String::new());
        self.call_engine(|engine, now| engine.on_request_result(&executor, &work, result, now));
    }

    fn fail_request(
        &mut self,
        executor: ExecutorId,
        work: WorkId,
        result: RequestResult,
        wait: Millis,
    ) {
        let event = Event::RequestFailed {
            executor,
            work,
            result,
        };
        self.events.add(self.now.after(wait), event);
    }

    pub(super) fn heartbeat(&mut self, id: WorkerId) {
        let now = self.now;
        let event = Event::Heartbeat { worker: id.clone() };
        self.events.add(now.after(HEARTBEAT_INTERVAL), event);
        let full = self.engine.begin_heartbeat(&id, now);
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        if worker.lost {
            self.call_engine(|engine, now| engine.heartbeat_lost(&id, now));
            return;
        }
        let response = worker.heartbeat_response(full, &shard_id(), Epoch::new(1));
        self.call_engine(|engine, now| engine.heartbeat(&id, response, now, now));
    }

    pub(super) fn set_fault(&mut self, fault: Fault) {
        match fault {
            Fault::CancelHalf => {
                let mut cancelled = 0;
                self.call_engine(|engine, now| cancelled = engine.cancel_half(now));
                self.measurements.cancelled += cancelled as u64;
            }
            Fault::FailEverything(id) => {
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.is_failing = true;
                }
            }
            Fault::LoseRack(rack) => {
                let in_rack = self.workers.values_mut().filter(|w| w.spec.rack == rack);
                in_rack.for_each(|worker| worker.lost = true);
            }
        }
    }
}
