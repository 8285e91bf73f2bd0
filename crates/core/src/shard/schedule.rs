//! Scheduling of waiting work: requests to free slots, tasks to workers with free capacity.

use smallvec::SmallVec;

use crate::admission::Feasibility;
use crate::code::{Refusal, ResultCode};
use crate::id::{Attempt, ExecutorId, ServiceName, TaskId, TaskIndex, WorkId, WorkerId};
use crate::order::{FairQueue, QueueEntry};
use crate::policy::Policy;
use crate::shard::placement_state::PlacementState;
use crate::shard::task_placement::TaskPlacement;
use crate::shard::work_record::SLOT_RESOURCES;
use crate::shard::{Effect, Shard};
use crate::unit::Timestamp;
use crate::work::{Outcome, WorkKind, WorkState};

/// Deferred entries of each kind that are retried when a worker frees capacity.
const RETRIES_PER_RELEASE: usize = 16;

impl Shard {
    /// Starts all work that can start now.
    pub(super) fn schedule(&mut self, now: Timestamp) {
        if !self.phase().accepts_work() {
            return;
        }
        self.tasks.set_total_capacity(self.fleet.total_capacity());
        let services: SmallVec<[ServiceName; 8]> = self.requests.keys().cloned().collect();
        for service in &services {
            self.schedule_requests(service, now);
        }
        self.schedule_tasks(now);
    }

    /// Retries deferred entries because capacity was freed.
    pub(super) fn on_capacity_freed(&mut self) {
        self.tasks.retry(RETRIES_PER_RELEASE);
        if self.fleet.hold_is_ready()
            && let Some(work) = self.head_gang.work()
        {
            self.tasks.retry_work(work);
        }
    }

    /// Returns the queue in which a piece of work waits.
    pub(super) fn queue_of(&mut self, work: &WorkId) -> &mut FairQueue {
        let service = self
            .records
            .get(work)
            .and_then(|record| record.spec.service.clone());
        match service {
            None => &mut self.tasks,
            Some(service) => {
                let policy = &self.policy;
                let new = || FairQueue::new(Policy::clone(policy));
                self.requests.entry(service).or_insert_with(new)
            }
        }
    }

    fn schedule_requests(&mut self, service: &ServiceName, now: Timestamp) {
        let mut started = 0;
        let slots = self.slots.slots_of(service);
        loop {
            if !self.slots.has_free(service, now) {
                break;
            }
            let Some(queue) = self.requests.get_mut(service) else {
                break;
            };
            queue.set_total_capacity(SLOT_RESOURCES.checked_mul(slots).unwrap_or(SLOT_RESOURCES));
            let Some(entry) = queue.next(now) else {
                break;
            };
            let Some(executor) = self.slots.acquire(service, now) else {
                queue.defer(entry);
                break;
            };
            self.start_request(entry, executor, now);
            started += 1;
        }
        let backlog = self
            .requests
            .get(service)
            .is_some_and(|queue| !queue.is_empty());
        self.request_rates
            .entry(service.clone())
            .or_default()
            .record(now, started, backlog);
    }

    fn start_request(&mut self, entry: QueueEntry, executor: ExecutorId, now: Timestamp) {
        let Some(record) = self.records.get_mut(&entry.work) else {
            self.slots.release(&executor);
            return;
        };
        record.state = WorkState::Running;
        record.reason = format!("sent to executor {executor}");
        record.executor = Some(executor.clone());
        record.started_at = Some(now);
        record.charged = true;
        let spec = record.spec.clone();
        let service = spec
            .service
            .as_ref()
            .and_then(|name| self.policy.services.get(name));
        let timeout = service.cloned().unwrap_or_default().request_timeout;
        let work = entry.work.clone();
        self.queue_of(&entry.work)
            .charge(entry.kind, &entry.team, entry.need);
        self.retry_budget.record_start(now);
        self.effects.push(Effect::Request {
            executor,
            work,
            spec,
            timeout,
        });
    }

    fn schedule_tasks(&mut self, now: Timestamp) {
        let mut started = 0;
        while let Some(entry) = self.tasks.next(now) {
            match self.place(&entry) {
                Some(workers) => {
                    self.start_tasks(&entry, workers, now);
                    self.end_gang_wait(&entry.work, now);
                    started += 1;
                }
                None if self.never_fits(&entry) => self.end_never_fitting(&entry, now),
                None => {
                    if let Some(record) = self.records.get_mut(&entry.work) {
                        record.reason = "no host has enough free capacity now".to_owned();
                    }
                    match self.needs_other_shards(&entry.work) {
                        true => self.request_borrowing(&entry, now),
                        false => self.record_not_placed(&entry, now),
                    }
                    self.tasks.defer(entry);
                }
            }
        }
        self.task_rate.record(now, started, !self.tasks.is_empty());
    }

    /// Returns true if the workers, all of which are known by now, could never hold work that was accepted earlier.
    fn never_fits(&mut self, entry: &QueueEntry) -> bool {
        let Some(record) = self
            .records
            .get(&entry.work)
            .filter(|record| !record.feasible)
        else {
            return false;
        };
        let feasibility = self.feasibility(&record.spec.clone());
        if let Some(record) = self.records.get_mut(&entry.work) {
            record.feasible = feasibility == Feasibility::Fits;
        }
        feasibility == Feasibility::NeverFits
    }

    fn end_never_fitting(&mut self, entry: &QueueEntry, now: Timestamp) {
        let need = entry.need;
        let text = format!("no hosts could hold {need} in the requested number of tasks");
        let refusal = Refusal::new(ResultCode::NeverFits, text);
        self.end(&entry.work, Outcome::Refused(refusal), now);
    }

    fn place(&mut self, entry: &QueueEntry) -> Option<SmallVec<[WorkerId; 8]>> {
        let spec = &self.records.get(&entry.work)?.spec;
        let (count, need) = (spec.task_count, &spec.resources);
        match entry.kind {
            WorkKind::Gang if self.head_gang.work() == Some(&entry.work) => {
                self.fleet.place_held_gang(count, need, &spec.placement)
            }
            WorkKind::Gang => self.fleet.place_gang(count, need, &spec.placement),
            _ => {
                let worker = self.fleet.place(&spec.resources, &spec.placement)?;
                Some(SmallVec::from_iter([worker]))
            }
        }
    }

    fn start_tasks(
        &mut self,
        entry: &QueueEntry,
        workers: SmallVec<[WorkerId; 8]>,
        now: Timestamp,
    ) {
        let epoch = self.epoch;
        let Some(record) = self.records.get_mut(&entry.work) else {
            return;
        };
        record.state = WorkState::Starting;
        record.reason = "sent to its hosts".to_owned();
        record.charged = true;
        record.attempts += 1;
        let attempt = Attempt::new(epoch, record.attempts);
        let spec = record.spec.clone();
        record.placements = workers
            .iter()
            .zip(0..)
            .map(|(worker, n)| {
                let incarnation = self
                    .workers
                    .get(worker)
                    .and_then(|worker_record| worker_record.incarnation);
                TaskPlacement::starting(TaskIndex::new(n), worker.clone(), attempt, incarnation)
            })
            .collect();
        self.tasks.charge(entry.kind, &entry.team, entry.need);
        self.retry_budget.record_start(now);
        for (worker, n) in workers.into_iter().zip(0..) {
            let task = TaskId::new(entry.work.clone(), TaskIndex::new(n)).with_attempt(attempt);
            if let Some(worker_record) = self.workers.get_mut(&worker) {
                worker_record
                    .allocations
                    .insert(task.clone(), spec.resources);
            }
            let spec = spec.clone();
            self.effects.push(Effect::Start { worker, task, spec });
        }
    }

    /// Sends starts again whose response was lost and that the worker does not list.
    pub(super) fn resend_starts(&mut self, worker: &WorkerId) {
        let allocations = self
            .workers
            .get(worker)
            .map(|worker_record| worker_record.allocations.keys());
        let tasks: Vec<TaskId> = allocations.into_iter().flatten().cloned().collect();
        for task in tasks {
            let Some(record) = self.records.get_mut(task.work()) else {
                continue;
            };
            let placement = record
                .placements
                .iter_mut()
                .find(|placement| placement.is(&task, worker));
            let Some(placement) =
                placement.filter(|placement| placement.state == PlacementState::InDoubt)
            else {
                continue;
            };
            placement.state = PlacementState::Starting;
            let stopping = placement.stopping;
            let (worker, spec) = (worker.clone(), record.spec.clone());
            self.effects.push(match stopping {
                true => Effect::Stop { worker, task },
                false => Effect::Start { worker, task, spec },
            });
        }
    }
}
