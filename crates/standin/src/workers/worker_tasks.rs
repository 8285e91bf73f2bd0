use std::time::Duration;

use lagoon_core::id::{Epoch, ShardId, TaskId};
use lagoon_core::unit::{Millicores, Resources};
use lagoon_platform::worker::{
    StartOutcome, StartRefusal, StartRefusalReason, StartRequest, TaskReport, TaskState,
};
use tokio::time::Instant;

use crate::util::to_bounded_duration;
use crate::workers::task_directive::TaskDirective;
use crate::workers::task_record::TaskRecord;
use crate::workers::worker_state::WorkerState;

/// Maximum number of forgotten tasks kept for deltas; a holder that is further behind gets a full inventory.
const MAX_FORGOTTEN: usize = 10_000;

impl WorkerState {
    /// Returns a refusal unless `epoch` is that of the current, unexpired lease.
    pub(crate) fn check_epoch(&mut self, epoch: Epoch, now: Instant) -> Result<(), StartRefusal> {
        self.advance(now);
        if epoch != self.epoch {
            return Err(self.start_refusal(StartRefusalReason::WrongEpoch));
        }
        match self.lease {
            Some(_) => Ok(()),
            None => Err(self.start_refusal(StartRefusalReason::NoLease)),
        }
    }

    /// Starts a task, or returns the state of a task that is already known.
    pub(crate) fn start(&mut self, req: &StartRequest, now: Instant) -> StartOutcome {
        let current = self.observe_shard_epoch(&req.shard, req.shard_epoch);
        if let Err(refusal) = self.check_epoch(req.epoch, now) {
            return StartOutcome::Refused(refusal);
        }
        if !current {
            let mut refusal = self.start_refusal(StartRefusalReason::LowerShardEpoch);
            refusal.epoch = self.shard_epochs[&req.shard];
            return StartOutcome::Refused(refusal);
        }
        if let Some(record) = self.tasks.get(&req.task) {
            return StartOutcome::AlreadyKnown(record.report.state.clone());
        }
        if !req.resources.fits_in(&self.free()) {
            return StartOutcome::Refused(self.start_refusal(StartRefusalReason::DoesNotFit));
        }
        let end_state = match TaskDirective::parse(&req.payload) {
            TaskDirective::Output(output) => TaskState::Succeeded { output },
            TaskDirective::Fail => TaskState::Failed {
                error: "the payload asks for a failure".into(),
            },
            TaskDirective::FailStart => {
                return StartOutcome::Refused(self.start_refusal(StartRefusalReason::StartFailed));
            }
        };
        let (end_state, run_time) = match self.is_failing {
            true => {
                let error = "the worker fails everything".to_owned();
                (TaskState::Failed { error }, Duration::ZERO)
            }
            false => {
                let run_time = to_bounded_duration(req.run_ms).mul_f64(self.run_time_factor);
                (end_state, run_time)
            }
        };
        let first_attempt = TaskId::new(req.task.work().clone(), req.task.index());
        *self.starts.entry(first_attempt).or_default() += 1;
        let report = TaskReport {
            task: req.task.clone(),
            shard: req.shard.clone(),
            shard_epoch: req.shard_epoch,
            resources: req.resources,
            state: TaskState::Running,
            observed: Self::scale(req.resources, self.observed_factor),
        };
        let renewed = now + self.task_ttl;
        // A start also extends the deadline of the shard's tasks: if earlier renewals have expired, the new task would
        // otherwise be stopped immediately.
        let deadline = self
            .task_deadlines
            .entry(req.shard.clone())
            .or_insert(renewed);
        *deadline = renewed.max(*deadline);
        self.insert(report, now + run_time, end_state);
        StartOutcome::Started
    }

    /// Stops a task. An unknown task is recorded as stopped, so that a delayed start of it has no effect.
    pub(crate) fn stop(&mut self, task: &TaskId, now: Instant) -> TaskState {
        let Some(record) = self.tasks.get_mut(task) else {
            let state = TaskState::Stopped { started: false };
            let shard = task.work().shard().clone();
            let report = TaskReport {
                task: task.clone(),
                shard_epoch: self.shard_epochs.get(&shard).copied().unwrap_or_default(),
                shard,
                resources: Resources::ZERO,
                state: state.clone(),
                observed: Resources::ZERO,
            };
            self.insert(report, now, state.clone());
            return state;
        };
        if record.report.state.is_running() {
            record.report.state = TaskState::Stopped { started: true };
            self.sequence = self.sequence.next();
            record.last_change = self.sequence;
        }
        record.report.state.clone()
    }

    /// Caps the observed CPU use of a running task. Returns `None` if the task isn't known.
    pub(crate) fn throttle(&mut self, task: &TaskId, cpu: Millicores) -> Option<TaskState> {
        let record = self.tasks.get_mut(task)?;
        if record.report.state.is_running() {
            record.report.observed.cpu = record.report.observed.cpu.min(cpu);
            self.sequence = self.sequence.next();
            record.last_change = self.sequence;
        }
        Some(record.report.state.clone())
    }

    /// Forgets ended tasks and returns their number.
    pub(crate) fn acknowledge(&mut self, tasks: &[TaskId]) -> u32 {
        let mut count = 0;
        for task in tasks {
            let finished = self.tasks.get(task);
            if finished.is_none_or(|record| record.report.state.is_running()) {
                continue;
            }
            self.tasks.remove(task);
            self.sequence = self.sequence.next();
            self.forgotten.insert(self.sequence, task.clone());
            count += 1;
        }
        while self.forgotten.len() > MAX_FORGOTTEN {
            if let Some((sequence, _)) = self.forgotten.pop_first() {
                self.oldest_delta_sequence = sequence;
            }
        }
        count
    }

    /// Returns the tasks of a shard.
    pub(crate) fn shard_tasks(&self, shard: &ShardId) -> Vec<TaskReport> {
        let tasks = self.tasks.values().map(|record| &record.report);
        tasks
            .filter(|report| report.shard == *shard)
            .cloned()
            .collect()
    }

    /// Returns true if any attempt of the same task is running.
    pub(crate) fn is_task_running(&self, task: &TaskId) -> bool {
        let same = |other: &TaskId| other.work() == task.work() && other.index() == task.index();
        let mut tasks = self.tasks.values().map(|record| &record.report);
        tasks.any(|report| same(&report.task) && report.state.is_running())
    }

    fn insert(&mut self, report: TaskReport, ends_at: Instant, end_state: TaskState) {
        self.sequence = self.sequence.next();
        let record = TaskRecord {
            last_change: self.sequence,
            ends_at,
            end_state,
            report,
        };
        self.tasks.insert(record.report.task.clone(), record);
    }

    fn free(&self) -> Resources {
        self.settings.capacity.saturating_sub(self.assigned())
    }

    pub(crate) fn start_refusal(&self, reason: StartRefusalReason) -> StartRefusal {
        StartRefusal {
            reason,
            epoch: self.epoch,
            free: self.free(),
        }
    }
}
