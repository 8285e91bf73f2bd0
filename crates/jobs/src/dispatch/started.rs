use lagoon_core::unit::Timestamp;

use crate::dispatch::core::Core;
use crate::dispatch::{Dispatcher, Serving, StartOrder};
use crate::run::{RunPhase, StartOutcome, StartRefusal};

impl Dispatcher<Serving> {
    /// Takes in what became of an order to start.
    pub fn started(&mut self, order: &StartOrder, outcome: StartOutcome, now: Timestamp) {
        self.core.start_answered(order, outcome, now);
    }
}

impl Core {
    fn start_answered(&mut self, order: &StartOrder, outcome: StartOutcome, now: Timestamp) {
        let task = order.task;
        let Some(run) = self.runs.matching(task, order.number, order.slot) else {
            return;
        };
        match outcome {
            StartOutcome::Started { executor_ms } => {
                if matches!(run.phase, RunPhase::Starting | RunPhase::Unconfirmed { .. }) {
                    run.phase = RunPhase::Running { since: now };
                    run.progress = (0, now);
                }
                let executor = self.fleet.get(order.slot);
                if executor_ms.is_some_and(|ms| executor.clock.is_same_incarnation(ms, now)) {
                    run.incarnation = executor.incarnation;
                }
                if executor_ms.is_some_and(|ms| executor.clock.has_gone_back(ms)) {
                    self.doubt_life(order.slot, now);
                }
                self.jobs.set_started(task.job());
                return;
            }
            StartOutcome::Unknown => {
                if run.phase == RunPhase::Starting {
                    run.phase = RunPhase::Unconfirmed { since: now };
                }
                tracing::warn!(%task, run = %order.number, executor = %order.executor, "dispatch: start not answered");
                self.fleet.get_mut(order.slot).health.mark_suspect(now);
                return;
            }
            StartOutcome::Refused(reason) => self.start_refused(order, reason, now),
            StartOutcome::Withheld => {}
            StartOutcome::NotSent => self.fleet.get_mut(order.slot).health.mark_suspect(now),
        }
        tracing::info!(%task, run = %order.number, executor = %order.executor, ?outcome, "dispatch: start had no effect");
        self.drop_run(task);
        if self.is_gang(task.step()) {
            self.stop_step(task);
        }
    }

    fn start_refused(&mut self, order: &StartOrder, reason: StartRefusal, now: Timestamp) {
        match reason {
            StartRefusal::Fenced => self.step_down(),
            StartRefusal::InvalidTicket => self.advice.drop_ticket(order.task.step(), order.slot),
            StartRefusal::StaleRun | StartRefusal::LeaseExpired | StartRefusal::InvalidRequest => {}
            StartRefusal::NoCapacity | StartRefusal::OtherIncarnation | StartRefusal::Unhealthy => {
                self.fleet.get_mut(order.slot).health.mark_suspect(now);
            }
        }
    }
}
