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
        self.record_lease(req, outcome, now);
        let Some(run) = self.runs.matching(task, req.number, req.slot) else {
            return;
        };
        match outcome {
            StartOutcome::Started { executor_ms } => {
                if matches!(run.phase, RunPhase::Starting | RunPhase::Unconfirmed { .. }) {
                    run.phase = RunPhase::Running { since: now };
                    run.progress = (0, now);
                }
                let executor = self.fleet.get(req.slot);
                if executor_ms.is_some_and(|ms| executor.clock.is_same_incarnation(ms, now)) {
                    run.incarnation = executor.incarnation();
                }
                if executor_ms.is_some_and(|ms| executor.clock.has_gone_back(ms)) {
                    self.suspect_restart(req.slot, now);
                }
                self.jobs.set_started(task.job());
                return;
            }
            StartOutcome::Unknown { connection_age } => {
                let executor = self.fleet.get(req.slot);
                if executor.clock.predates_list(connection_age, now) {
                    run.incarnation = executor.incarnation();
                }
                if run.phase == RunPhase::Starting {
                    run.phase = RunPhase::Unconfirmed { since: now };
                }
                tracing::warn!(%task, run = %req.number, executor = %req.executor, "dispatch: executor did not answer a start, the run is unconfirmed");
                self.fleet.get_mut(req.slot).health.mark_suspect(now);
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

    /// Records until when the request may have extended the lease of the executor, whatever has become of its run.
    fn record_lease(&mut self, req: &StartRequest, outcome: StartOutcome, now: Timestamp) {
        let limits = self.limits;
        let clock = &mut self.fleet.get_mut(req.slot).clock;
        match outcome {
            // These refusals extend the lease, and do not show the incarnation.
            StartOutcome::Refused(StartRefusal::OldRun | StartRefusal::NoRoom) => {
                clock.assume_granted_on(req.clock_generation, limits.max_lease, now);
            }
            StartOutcome::Started { executor_ms } => {
                let is_known = executor_ms.is_some_and(|ms| clock.is_same_incarnation(ms, now));
                if !is_known || req.clock_generation != clock.generation() {
                    // A later incarnation takes the lease end, a time on the earlier clock, as the longest lease.
                    clock.assume_granted_on(req.clock_generation, limits.max_lease, now);
                }
            }
            // Only the known incarnation can have received it, whose lease end is recorded with the grant.
            StartOutcome::Unknown { connection_age }
                if req.clock_generation == clock.generation()
                    && clock.predates_list(connection_age, now) => {}
            StartOutcome::Unknown { .. } => {
                let (delay, max_lease) = (limits.max_request_delay, limits.max_lease);
                clock.record_unanswered(req.clock_generation, delay, max_lease, now);
            }
            StartOutcome::Refused(_) | StartOutcome::NotSent | StartOutcome::Withheld => {}
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
