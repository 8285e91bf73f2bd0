use lagoon_core::unit::Timestamp;

use crate::dispatch::core::Core;
use crate::dispatch::{Dispatcher, Serving, StartRequest};
use crate::run::{RunPhase, StartOutcome, StartRefusal};

impl Dispatcher<Serving> {
    /// Handles the outcome of a request to start.
    pub fn started(&mut self, req: &StartRequest, outcome: StartOutcome, now: Timestamp) {
        self.core.start_answered(req, outcome, now);
    }
}

impl Core {
    fn start_answered(&mut self, req: &StartRequest, outcome: StartOutcome, now: Timestamp) {
        let task = req.task;
        let Some(run) = self.runs.matching(task, req.number, req.slot) else {
            return;
        };
        match outcome {
            StartOutcome::Started { executor_ms } => {
                if matches!(run.phase, RunPhase::Starting | RunPhase::Unconfirmed { .. }) {
                    run.phase = RunPhase::Running { since: now };
                    run.progress = (0, now);
                }
                let executor = self.fleet.get_mut(req.slot);
                if executor_ms.is_some_and(|ms| executor.clock.is_same_incarnation(ms, now)) {
                    run.incarnation = executor.incarnation;
                } else {
                    // A later incarnation takes the lease end, a time on the earlier clock, as the longest lease.
                    executor.clock.assume_granted(self.limits.max_lease, now);
                }
                if executor_ms.is_some_and(|ms| executor.clock.has_gone_back(ms)) {
                    self.suspect_restart(req.slot, now);
                }
                self.jobs.set_started(task.job());
                return;
            }
            StartOutcome::Unknown => {
                if run.phase == RunPhase::Starting {
                    run.phase = RunPhase::Unconfirmed { since: now };
                }
                tracing::warn!(%task, run = %req.number, executor = %req.executor, "dispatch: executor did not answer a start, the run is unconfirmed");
                let limits = self.limits;
                let executor = self.fleet.get_mut(req.slot);
                let (delay, max_lease) = (limits.max_request_delay, limits.max_lease);
                executor.clock.record_unanswered(delay, max_lease, now);
                executor.health.mark_suspect(now);
                return;
            }
            StartOutcome::Refused(reason) => self.start_refused(req, reason, now),
            StartOutcome::Withheld => {}
            StartOutcome::NotSent => self.fleet.get_mut(req.slot).health.mark_suspect(now),
        }
        tracing::info!(%task, run = %req.number, executor = %req.executor, ?outcome, "dispatch: start had no effect, the task waits to be started again");
        self.drop_run(task);
        if self.is_gang(task.step()) {
            self.stop_step(task);
        }
    }

    fn start_refused(&mut self, req: &StartRequest, reason: StartRefusal, now: Timestamp) {
        match reason {
            StartRefusal::Fenced => self.step_down(),
            StartRefusal::Ticket => self.advice.invalidate_ticket(req.task.step(), req.slot),
            StartRefusal::OldRun | StartRefusal::LeaseOver | StartRefusal::Invalid => {}
            StartRefusal::NoRoom | StartRefusal::OtherLife | StartRefusal::Unhealthy => {
                self.fleet.get_mut(req.slot).health.mark_suspect(now);
            }
        }
    }
}
