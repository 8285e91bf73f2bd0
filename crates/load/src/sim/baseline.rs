use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use lagoon_core::code::ResultCode;
use lagoon_core::id::{
    Epoch, ExecutorId, Sequence, ServiceName, TaskId, TaskIndex, WorkId, WorkerId,
};
use lagoon_core::shard::{RequestResult, StartResult, TaskPhase, WorkerSpec};
use lagoon_core::unit::{Resources, Timestamp};
use lagoon_core::work::WorkSpec;

use crate::sim::JobNumber;
use crate::sim::action::Action;
use crate::sim::baseline_job::BaselineJob;
use crate::sim::engine::Engine;
use crate::sim::heartbeat_response::HeartbeatResponse;
use crate::sim::shard_setup::shard_id;

/// Maximum number of items in each queue, as in the default policy.
const MAX_QUEUE_ITEMS: usize = 100_000;

/// Baseline policy for comparison: first come, first served, with first-fit placement. The head of the queue blocks all
/// other jobs. Has no shares, quotas, priorities, health or size corrections.
#[derive(Debug)]
pub(crate) struct Baseline {
    workers: Vec<(WorkerSpec, Resources)>,
    executors: BTreeMap<ExecutorId, (ServiceName, u32)>,
    tasks: VecDeque<BaselineJob>,
    requests: BTreeMap<ServiceName, VecDeque<BaselineJob>>,
    running: HashMap<WorkId, BaselineJob>,
    allocations: HashMap<TaskId, (usize, Resources)>,
    actions: Vec<Action>,
}

impl Baseline {
    pub(crate) fn new(workers: Vec<WorkerSpec>) -> Self {
        let executors = workers.iter().flat_map(|spec| spec.executors.iter());
        let executors = executors.map(|spec| {
            let free = (spec.service.clone(), spec.slots);
            (spec.executor.clone(), free)
        });
        Self {
            executors: executors.collect(),
            workers: workers
                .into_iter()
                .map(|spec| {
                    let free = spec.capacity;
                    (spec, free)
                })
                .collect(),
            tasks: VecDeque::new(),
            requests: BTreeMap::new(),
            running: HashMap::new(),
            allocations: HashMap::new(),
            actions: Vec::new(),
        }
    }

    fn schedule(&mut self, now: Timestamp) {
        self.refuse_expired(now);
        while let Some(job) = self.tasks.pop_front() {
            let Some(worker_indices) = self.first_fit(&job.spec) else {
                self.tasks.push_front(job);
                break;
            };
            let work = work_id(job.number);
            for (index, worker_index) in worker_indices.into_iter().enumerate() {
                let task = TaskId::new(work.clone(), TaskIndex::new(index as u32));
                let worker = self.workers[worker_index].0.worker.clone();
                self.allocations
                    .insert(task.clone(), (worker_index, job.spec.resources));
                let job = job.number;
                self.actions.push(Action::Start { worker, task, job });
            }
            self.running.insert(work, job);
        }
        let services: Vec<ServiceName> = self.requests.keys().cloned().collect();
        for service in services {
            self.schedule_requests(&service);
        }
    }

    fn schedule_requests(&mut self, service: &ServiceName) {
        loop {
            let mut executors = self.executors.iter_mut();
            let free = executors.find(|(_, (of, free))| of == service && *free > 0);
            let queue = self.requests.get_mut(service);
            let (Some((executor, (_, free))), Some(queue)) = (free, queue) else {
                return;
            };
            let Some(job) = queue.pop_front() else {
                return;
            };
            *free -= 1;
            let work = work_id(job.number);
            self.actions.push(Action::Request {
                executor: executor.clone(),
                work: work.clone(),
                job: job.number,
            });
            self.running.insert(work, job);
        }
    }

    /// Refuses jobs at the heads of the queues whose start deadline has passed.
    fn refuse_expired(&mut self, now: Timestamp) {
        let queues = self.requests.values_mut().chain([&mut self.tasks]);
        for queue in queues {
            let is_expired = |job: &mut BaselineJob| job.spec.deadline.is_some_and(|at| at < now);
            while let Some(job) = queue.pop_front_if(is_expired) {
                let failure = Some(ResultCode::DeadlinePassed);
                let job = job.number;
                self.actions.push(Action::Ended { job, failure });
            }
        }
    }

    fn first_fit(&mut self, spec: &WorkSpec) -> Option<Vec<usize>> {
        let mut worker_indices = Vec::new();
        for (index, (_, free)) in self.workers.iter_mut().enumerate() {
            while worker_indices.len() < spec.task_count as usize
                && let Some(remaining) = free.checked_sub(spec.resources)
            {
                *free = remaining;
                worker_indices.push(index);
            }
        }
        if worker_indices.len() == spec.task_count as usize {
            return Some(worker_indices);
        }
        for index in worker_indices {
            let free = &mut self.workers[index].1;
            *free = free.saturating_add(spec.resources);
        }
        None
    }

    /// Releases the allocation of a task. The job ends with its last task.
    fn end_task(&mut self, task: &TaskId, failed: bool) {
        let Some((worker_index, resources)) = self.allocations.remove(task) else {
            return;
        };
        let free = &mut self.workers[worker_index].1;
        *free = free.saturating_add(resources);
        let Some(job) = self.running.get_mut(task.work()) else {
            return;
        };
        job.failed |= failed;
        job.remaining_tasks = job.remaining_tasks.saturating_sub(1);
        if job.remaining_tasks > 0 {
            return;
        }
        let (job, failed) = (job.number, job.failed);
        self.running.remove(task.work());
        self.actions.push(match failed {
            true => Action::Failed { job },
            false => Action::Ended { job, failure: None },
        });
    }
}

fn work_id(job: JobNumber) -> WorkId {
    WorkId::new(shard_id(), Epoch::new(1), Sequence::new(job.0))
}

impl Engine for Baseline {
    fn submit(&mut self, job: JobNumber, spec: &WorkSpec, now: Timestamp) {
        let queue = match &spec.service {
            Some(service) => self.requests.entry(service.clone()).or_default(),
            None => &mut self.tasks,
        };
        if queue.len() >= MAX_QUEUE_ITEMS {
            let failure = Some(ResultCode::Overloaded);
            self.actions.push(Action::Ended { job, failure });
            return;
        }
        queue.push_back(BaselineJob {
            number: job,
            spec: Arc::new(spec.clone()),
            remaining_tasks: spec.task_count,
            failed: false,
        });
        self.schedule(now);
    }

    fn cancel_half(&mut self, now: Timestamp) -> usize {
        let mut cancelled = 0;
        let queues = self.requests.values_mut().chain([&mut self.tasks]);
        for queue in queues {
            let jobs = std::mem::take(queue).into_iter().enumerate();
            for (index, job) in jobs {
                if index % 2 == 1 {
                    queue.push_back(job);
                    continue;
                }
                cancelled += 1;
                let (job, failure) = (job.number, Some(ResultCode::Cancelled));
                self.actions.push(Action::Ended { job, failure });
            }
        }
        self.schedule(now);
        cancelled
    }

    fn begin_heartbeat(&mut self, _worker: &WorkerId, _now: Timestamp) -> bool {
        false
    }

    fn heartbeat(
        &mut self,
        worker: &WorkerId,
        response: HeartbeatResponse,
        _sent_at: Timestamp,
        now: Timestamp,
    ) {
        let mut forgotten = Vec::new();
        for report in response.tasks {
            let failed = !matches!(report.phase, TaskPhase::Succeeded(_));
            self.end_task(&report.task, failed);
            forgotten.push(report.task);
        }
        if !forgotten.is_empty() {
            let (worker, tasks) = (worker.clone(), forgotten);
            self.actions.push(Action::Acknowledge { worker, tasks });
        }
        self.schedule(now);
    }

    fn heartbeat_lost(&mut self, worker: &WorkerId, _now: Timestamp) {
        let is_lost = |(spec, _): &(WorkerSpec, Resources)| spec.worker == *worker;
        let Some(index) = self.workers.iter().position(is_lost) else {
            return;
        };
        let allocated = self
            .allocations
            .iter()
            .filter(|(_, (worker_index, _))| *worker_index == index);
        let tasks: Vec<TaskId> = allocated.map(|(task, _)| task.clone()).collect();
        for task in &tasks {
            self.end_task(task, true);
        }
        self.workers[index].1 = Resources::ZERO;
        let executors = self.workers[index].0.executors.clone();
        for spec in executors {
            self.executors.remove(&spec.executor);
        }
    }

    fn on_start_result(
        &mut self,
        _worker: &WorkerId,
        task: &TaskId,
        result: StartResult,
        now: Timestamp,
    ) {
        if !matches!(result, StartResult::Known(_)) {
            self.end_task(task, true);
            self.schedule(now);
        }
    }

    fn on_request_result(
        &mut self,
        executor: &ExecutorId,
        work: &WorkId,
        result: RequestResult,
        now: Timestamp,
    ) {
        if let Some((_, free)) = self.executors.get_mut(executor) {
            *free += 1;
        }
        if let Some(job) = self.running.remove(work) {
            let job = job.number;
            self.actions.push(match result {
                RequestResult::Answered(_) => Action::Ended { job, failure: None },
                _ => Action::Failed { job },
            });
        }
        self.schedule(now);
    }

    fn on_executor_status(&mut self, _executor: &ExecutorId, _in_use: u32, _now: Timestamp) {}

    fn tick(&mut self, now: Timestamp) {
        self.schedule(now);
    }

    fn wake(&mut self, _now: Timestamp) {}

    fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    fn share_in_use(&self) -> f64 {
        let sum = |values: &mut dyn Iterator<Item = Resources>| {
            values.fold(Resources::ZERO, Resources::saturating_add)
        };
        let capacity = sum(&mut self.workers.iter().map(|(spec, _)| spec.capacity));
        let free = sum(&mut self.workers.iter().map(|(_, free)| *free));
        capacity.saturating_sub(free).dominant_share(&capacity)
    }

    fn store_calls(&self) -> u64 {
        0
    }
}
