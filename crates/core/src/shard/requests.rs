//! Requests that run in the slots of executors.

use crate::code::{Refusal, ResultCode};
use crate::id::{ExecutorId, WorkId};
use crate::shard::{RequestResult, Shard};
use crate::unit::Timestamp;
use crate::work::{Outcome, Repeatability, WorkState};

impl Shard {
    /// Returns true if a request may be sent to an executor, which requires the lease on its worker.
    pub fn may_use_executor(&self, executor: &ExecutorId, now: Timestamp) -> bool {
        let record = self.slots.get(executor).filter(|record| record.open);
        record.is_some_and(|record| self.may_use_worker(&record.worker, now))
    }

    /// Applies the result of a request.
    pub fn on_request(
        &mut self,
        executor: &ExecutorId,
        work: &WorkId,
        result: RequestResult,
        now: Timestamp,
    ) {
        self.slots.release(executor);
        let not_known = |code, text: &str| Outcome::Refused(Refusal::new(code, text));
        match result {
            RequestResult::Answered(answer) => self.end(work, Outcome::Succeeded(answer), now),
            RequestResult::Failed(error) => self.end(work, Outcome::Failed(error), now),
            RequestResult::Refused => {
                self.slots.mark_full(executor);
                self.requeue_request(work, now);
            }
            RequestResult::NotSent => {
                self.slots.back_off(executor, now);
                self.requeue_request(work, now);
            }
            RequestResult::Lost => {
                self.slots.mark_full(executor);
                let text = "the connection to the executor broke before the response arrived";
                self.retry_or_end(work, not_known(ResultCode::AnswerLost, text), now);
            }
            RequestResult::TimedOut => {
                // The executor may still be running it.
                self.slots.mark_full(executor);
                let text = "the executor did not respond within the request timeout";
                self.retry_or_end(work, not_known(ResultCode::AnswerTimeout, text), now);
            }
        }
        self.schedule(now);
    }

    /// Applies the number of slots that an executor reports as in use.
    pub fn on_executor_status(&mut self, executor: &ExecutorId, in_use: u32, now: Timestamp) {
        self.slots.set_reported_in_use(executor, in_use);
        self.schedule(now);
    }

    /// Retries a request that may have run, if it is restartable and the retry budget allows, or ends it.
    fn retry_or_end(&mut self, work: &WorkId, outcome: Outcome, now: Timestamp) {
        let Some(record) = self.records.get_mut(work) else {
            return;
        };
        record.may_have_run = true;
        let restartable = record.spec.repeatability == Repeatability::Restartable;
        match restartable && self.retry_budget.try_retry(now) {
            true => self.queue_request_again(work),
            false => self.end(work, outcome, now),
        }
    }

    /// Retries a request that certainly did not run, within the retry budget.
    fn requeue_request(&mut self, work: &WorkId, now: Timestamp) {
        let Some(record) = self.records.get_mut(work) else {
            return;
        };
        record.executor = None;
        if self.retry_budget.try_retry(now) {
            self.queue_request_again(work);
            return;
        }
        let text = "no executor accepted the request, and the retry budget is exhausted";
        let refusal = Refusal::new(ResultCode::ExecutorsBusy, text);
        self.end(work, Outcome::Refused(refusal), now);
    }

    fn queue_request_again(&mut self, work: &WorkId) {
        self.release_charge(work);
        let Some(record) = self.records.get_mut(work) else {
            return;
        };
        record.executor = None;
        record.state = WorkState::Waiting;
        record.reason = "waiting for another executor".to_owned();
        let entry = record.queue_entry();
        self.queue_of(work).push(entry);
    }
}
