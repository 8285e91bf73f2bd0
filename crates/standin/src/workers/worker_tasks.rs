use std::time::Duration;

use lagoon_core::id::{Epoch, ShardId, TaskId};
use lagoon_core::unit::{Millicores, Resources};
use lagoon_platform::worker::{
    StartOutcome, StartRefusal, StartRefusalReason, StartRequest, TaskReport, TaskState,
};
use tokio::time::Instant;

use crate::util::bounded;
use crate::workers::directive::Directive;
use crate::workers::task_record::TaskRecord;
use crate::workers::worker_state::WorkerState;

/// Forgotten tasks that are still reported in deltas; a holder further behind gets a full inventory.
const MAX_FORGOTTEN: usize = 10_000;

impl WorkerState {
    /// Checks that the caller's lease is valid and current.
    pub(crate) fn check_epoch(&mut self, epoch: Epoch, now: Instant) -> Result<(), StartRefusal> {
        self.settle(now);
        if epoch != self.epoch {
            return Err(self.refuse(StartRefusalReason::WrongEpoch));
        }
        match self.lease {
            Some(_) => Ok(()),
            None => Err(self.refuse(StartRefusalReason::NoLease)),
        }
    }

    /// Starts a task that isn't known yet.
    pub(crate) fn start(&mut self, req: &StartRequest, now: Instant) -> StartOutcome {
        let current = self.see_shard_epoch(&req.shard, req.shard_epoch);
        if let Err(refusal) = self.check_epoch(req.epoch, now) {
            return StartOutcome::Refused(refusal);
        }
        if !current {
            let mut refusal = self.refuse(StartRefusalReason::LowerShardEpoch);
            refusal.epoch = self.shard_epochs[&req.shard];
            return StartOutcome::Refused(refusal);
        }
        if let Some(record) = self.tasks.get(&req.task) {
            return StartOutcome::AlreadyKnown(record.report.state.clone());
        }
        if !req.resources.fits_in(&self.free()) {
            return StartOutcome::Refused(self.refuse(StartRefusalReason::DoesNotFit));
        }
        let ends_as = match Directive::parse(&req.payload) {
            Directive::Output(output) => TaskState::Succeeded { output },
            Directive::Fail => TaskState::Failed {
                error: "the payload asks for a failure".into(),
            },
            Directive::FailStart => {
                return StartOutcome::Refused(self.refuse(StartRefusalReason::StartFailed));
            }
        };
        let (ends_as, run_time) = match self.failing {
            true => {
                let error = "the worker fails everything".to_owned();
                (TaskState::Failed { error }, Duration::ZERO)
            }
            false => {
                let run_time = bounded(req.run_ms).mul_f64(self.run_time_factor);
                (ends_as, run_time)
            }
        };
        let member = TaskId::new(req.task.work().clone(), req.task.index());
        *self.starts.entry(member).or_default() += 1;
        let report = TaskReport {
            task: req.task.clone(),
            shard: req.shard.clone(),
            shard_epoch: req.shard_epoch,
            resources: req.resources,
            state: TaskState::Running,
            observed: Self::scale(req.resources, self.observed_factor),
        };
        let until = now + self.task_ttl;
        // A start is a sign of life: without it, a shard whose earlier renewals have lapsed would lose the task at once.
        let known = self.tasks_until.entry(req.shard.clone()).or_insert(until);
        *known = until.max(*known);
        self.insert(report, now + run_time, ends_as);
        StartOutcome::Started
    }

    /// Stops a task; one that isn't known is remembered as stopped.
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
            record.changed = self.sequence;
        }
        record.report.state.clone()
    }

    /// Limits the processors that a running task is seen to use; `None` if it isn't known.
    pub(crate) fn throttle(&mut self, task: &TaskId, cpu: Millicores) -> Option<TaskState> {
        let record = self.tasks.get_mut(task)?;
        if record.report.state.is_running() {
            record.report.observed.cpu = record.report.observed.cpu.min(cpu);
            self.sequence = self.sequence.next();
            record.changed = self.sequence;
        }
        Some(record.report.state.clone())
    }

    /// Forgets finished tasks and returns how many.
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
                self.first_sequence = sequence;
            }
        }
        count
    }

    /// Returns the tasks of a shard.
    pub(crate) fn tasks_of(&self, shard: &ShardId) -> Vec<TaskReport> {
        let tasks = self.tasks.values().map(|record| &record.report);
        tasks
            .filter(|report| report.shard == *shard)
            .cloned()
            .collect()
    }

    /// Tells whether any attempt at the same member of the same work runs.
    pub(crate) fn runs_member(&self, task: &TaskId) -> bool {
        let same = |other: &TaskId| other.work() == task.work() && other.index() == task.index();
        let mut tasks = self.tasks.values().map(|record| &record.report);
        tasks.any(|report| same(&report.task) && report.state.is_running())
    }

    fn insert(&mut self, report: TaskReport, ends: Instant, ends_as: TaskState) {
        self.sequence = self.sequence.next();
        let record = TaskRecord {
            changed: self.sequence,
            ends,
            ends_as,
            report,
        };
        self.tasks.insert(record.report.task.clone(), record);
    }

    fn free(&self) -> Resources {
        self.settings.capacity.saturating_sub(self.assigned())
    }

    pub(crate) fn refuse(&self, reason: StartRefusalReason) -> StartRefusal {
        StartRefusal {
            reason,
            epoch: self.epoch,
            free: self.free(),
        }
    }
}
