use lagoon_core::unit::Timestamp;

use crate::dispatch::core::Core;
use crate::dispatch::{Dispatcher, Serving};
use crate::fleet::{Availability, Executor};
use crate::id::{JobId, StepKey};
use crate::job::{Job, LastRun, Step};
use crate::report::{ExecutorReport, JobReport, RunReport, StepReport, WaitReason};
use crate::run::{Run, RunPhase};

impl Dispatcher<Serving> {
    /// Returns a report on each executor.
    pub fn report_executors(&self, now: Timestamp) -> Vec<ExecutorReport> {
        let executors = self.core.fleet.iter();
        executors.map(|(_, e)| executor_report(e, now)).collect()
    }

    /// Returns a report on a job that has not ended; `None` if there is no such job.
    pub fn report_job(&self, id: JobId, now: Timestamp) -> Option<JobReport> {
        let core = &self.core;
        let job = core.jobs.get(id)?;
        let record = job.record();
        let occurrences = job.occurrences().map(|(number, occurrence)| {
            let steps = (0..)
                .zip(&occurrence.steps)
                .filter(|(_, step)| !step.is_done());
            steps.map(move |(step, _)| StepKey::new(id, number, step))
        });
        Some(JobReport {
            job: id,
            queue: record.queue().clone(),
            state: job.state(),
            accepted: record.accepted(),
            objective: job.objective,
            age: now.since(record.accepted()),
            inherited: job.inherited,
            steps: occurrences
                .flatten()
                .filter_map(|key| core.step_report(job, key, now))
                .collect(),
        })
    }
}

impl Core {
    fn step_report(&self, job: &Job, key: StepKey, now: Timestamp) -> Option<StepReport> {
        let step = job.step(key)?;
        let runs = self.runs.of_step(key);
        Some(StepReport {
            step: key,
            tasks: step.count(),
            waiting: step.pending(),
            waits_for: (step.pending() > 0).then(|| self.wait_reason(job, step, key, now)),
            runs: runs.map(|run| self.run_report(run, now)).collect(),
        })
    }

    fn wait_reason(&self, job: &Job, step: &Step, key: StepKey, now: Timestamp) -> WaitReason {
        let Some(queue) = self.queue_of(job) else {
            return WaitReason::QueueIsGone;
        };
        if !self.jobs.open_steps().any(|open| open == key) {
            return WaitReason::EarlierSteps;
        }
        let inherited_blocked = self.inherited_work_may_run(now);
        let blocked = |index: &u32| !self.may_start_again(job, step, *index, inherited_blocked);
        if let Some(index) = step.pending_tasks().find(blocked) {
            return match step.last_run(index) {
                Some(LastRun::Ended(_)) => WaitReason::EarlierRun,
                Some(LastRun::At(_)) | None => WaitReason::UnheardExecutors,
            };
        }
        if self.is_gang(key) && self.runs.of_step(key).next().is_some() {
            return WaitReason::EarlierRun;
        }
        let advice = self.advice.step(key);
        match advice {
            Some(advice) if advice.in_flight => WaitReason::Adviser,
            Some(advice) if !advice.approvals.is_empty() => WaitReason::Room,
            _ if queue.advice.is_some() => WaitReason::MemberToAsk,
            _ => WaitReason::Room,
        }
    }

    fn run_report(&self, run: &Run, now: Timestamp) -> RunReport {
        RunReport {
            task: run.task,
            run: run.number,
            executor: self.fleet.get(run.slot).entry.id.clone(),
            phase: match run.phase {
                RunPhase::Starting => "starting",
                RunPhase::Unconfirmed { .. } => "unconfirmed",
                RunPhase::Running { .. } => "running",
                RunPhase::Stopping { .. } => "stopping",
            },
            ordered_ago: now.since(run.requested_at),
            percent: run.progress.0,
        }
    }
}

fn executor_report(executor: &Executor, now: Timestamp) -> ExecutorReport {
    let entry = &executor.entry;
    ExecutorReport {
        executor: entry.id.clone(),
        availability: match executor.availability {
            Availability::Ready => "ready",
            Availability::Draining => "draining",
            Availability::Unlisted => "unlisted",
        },
        capacity: entry.capacity,
        free: entry.capacity.saturating_sub(executor.reserved()),
        runs: executor.tasks.len() as u32,
        rests_for: executor.health.suspect_for(now),
        heard_ago: executor
            .identity
            .listed_at()
            .map(|listed_at| now.since(listed_at)),
        silent: executor.is_unresponsive,
    }
}
