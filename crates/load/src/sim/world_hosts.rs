//! The hosts' part of the world: workers, executors and their faults.

use lagoon_core::id::{Epoch, ExecutorId, TaskId, WorkId, WorkerId};
use lagoon_core::shard::{RequestResult, StartResult, TaskPhase};
use lagoon_core::unit::{Bytes, Millicores, Millis, Resources};

use crate::sim::event::Event;
use crate::sim::fault::Fault;
use crate::sim::job_number::JobNumber;
use crate::sim::shard_setup::shard_id;
use crate::sim::world::{HEARTBEAT, MESSAGE, World};

/// Time until a start that was not answered is given up.
const START_TIMEOUT: Millis = Millis::new(1_000);
/// Time until a connection to a lost host is given up.
const CONNECT_TIMEOUT: Millis = Millis::new(1_000);
/// Time until an answer is given up; the default of a service.
const REQUEST_TIMEOUT: Millis = Millis::new(30_000);
/// Time until a task fails on a worker that fails everything.
const FAILS_AFTER: Millis = Millis::new(50);

impl World {
    pub(super) fn handle_host(&mut self, event: Event) {
        match event {
            Event::StartArrives { worker, task, job } => self.start(worker, task, job),
            Event::StartAnswered {
                worker,
                task,
                result,
            } => self.call(|engine, now| engine.started(&worker, &task, result, now)),
            Event::TaskEnds { worker, task } => {
                if let Some(worker) = self.workers.get_mut(&worker).filter(|w| !w.lost) {
                    let failed = worker.fails;
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
            Event::RequestEnds { executor, work } => self.end_request(executor, work),
            Event::RequestGivenUp {
                executor,
                work,
                result,
            } => self.call(|engine, now| engine.answered(&executor, &work, result, now)),
            Event::Status { executor } => {
                let known = self.executors.get(&executor);
                let in_use = known.map_or(0, |executor| executor.in_use);
                self.call(|engine, now| engine.status(&executor, in_use, now));
            }
            _ => {}
        }
    }

    fn start(&mut self, worker: WorkerId, task: TaskId, number: JobNumber) {
        let job = &self.jobs[number.index()];
        let used = |part: u64| part * job.used_percent / 100;
        let resources = job.spec.resources;
        let observed = Resources::new(
            Millicores::new(used(resources.cpu.get())),
            Bytes::new(used(resources.memory.get())),
        );
        let mut run = job.run;
        let Some(host) = self.workers.get_mut(&worker) else {
            return;
        };
        let (answered, result) = match host.lost {
            true => (START_TIMEOUT, StartResult::Unknown),
            false if host.fails && number.0.is_multiple_of(2) => {
                (MESSAGE, StartResult::StartFailed)
            }
            false => (MESSAGE, host.start(&task, resources, observed)),
        };
        if host.fails {
            run = FAILS_AFTER;
        }
        if result == StartResult::Known(TaskPhase::Running) {
            let (worker, task) = (worker.clone(), task.clone());
            let event = Event::TaskEnds { worker, task };
            self.timeline.add(self.now.after(run), event);
        }
        self.measures.record_start_result(&result);
        let event = Event::StartAnswered {
            worker,
            task,
            result,
        };
        self.timeline.add(self.now.after(answered), event);
    }

    fn request(&mut self, executor: ExecutorId, work: WorkId, number: JobNumber) {
        let run = self.jobs[number.index()].run;
        let Some(host) = self.executors.get_mut(&executor) else {
            return;
        };
        if self.workers.get(&host.worker).is_some_and(|w| w.lost) {
            let result = RequestResult::NotSent;
            return self.give_up(executor, work, result, CONNECT_TIMEOUT);
        }
        if host.in_use >= host.slots {
            let result = RequestResult::Refused;
            self.call(|engine, now| engine.answered(&executor, &work, result, now));
            return;
        }
        host.in_use += 1;
        let event = Event::RequestEnds { executor, work };
        self.timeline.add(self.now.after(run), event);
    }

    fn end_request(&mut self, executor: ExecutorId, work: WorkId) {
        let Some(host) = self.executors.get_mut(&executor) else {
            return;
        };
        host.in_use = host.in_use.saturating_sub(1);
        if self.workers.get(&host.worker).is_some_and(|w| w.lost) {
            let result = RequestResult::TimedOut;
            return self.give_up(executor, work, result, REQUEST_TIMEOUT);
        }
        let result = RequestResult::Answered(String::new());
        self.call(|engine, now| engine.answered(&executor, &work, result, now));
    }

    fn give_up(&mut self, executor: ExecutorId, work: WorkId, result: RequestResult, wait: Millis) {
        let event = Event::RequestGivenUp {
            executor,
            work,
            result,
        };
        self.timeline.add(self.now.after(wait), event);
    }

    pub(super) fn heartbeat(&mut self, id: WorkerId) {
        let now = self.now;
        let event = Event::Heartbeat { worker: id.clone() };
        self.timeline.add(now.after(HEARTBEAT), event);
        let full = self.engine.heartbeat_due(&id, now);
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        if worker.lost {
            self.call(|engine, now| engine.heartbeat_lost(&id, now));
            return;
        }
        let beat = worker.beat(full, &shard_id(), Epoch::new(1));
        self.call(|engine, now| engine.heartbeat(&id, beat, now, now));
    }

    pub(super) fn set_fault(&mut self, fault: Fault) {
        match fault {
            Fault::CancelHalf => {
                let mut cancelled = 0;
                self.call(|engine, now| cancelled = engine.cancel_half(now));
                self.measures.cancelled += cancelled as u64;
            }
            Fault::FailEverything(id) => {
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.fails = true;
                }
            }
            Fault::LoseRack(rack) => {
                let in_rack = self.workers.values_mut().filter(|w| w.spec.rack == rack);
                in_rack.for_each(|worker| worker.lost = true);
            }
        }
    }
}
