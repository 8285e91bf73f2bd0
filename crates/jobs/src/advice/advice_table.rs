use std::collections::HashMap;

use lagoon_core::unit::{Millis, Resources, Timestamp};

use crate::advice::{AdviserPool, Approval, StepAdvice};
use crate::fleet::ExecutorSlot;
use crate::id::{MemberId, QueueName, StepKey};

/// Approval rate assumed for a queue before its first response.
const INITIAL_APPROVAL_RATE: f64 = 0.4;
/// Weight of a new response in the moving average of the approval rate.
const APPROVAL_RATE_WEIGHT: f64 = 0.1;
/// Longest time for which a request that would start few tasks is deferred; short compared with the objectives of the
/// queues whose requests are costly.
const MAX_DEFERRAL: Millis = Millis::new(700);
/// Delay after a request that failed.
const RETRY_DELAY: Millis = Millis::new(100);

/// Advice of all open steps, and the requests in flight.
#[derive(Debug, Clone, Default)]
pub struct AdviceTable {
    steps: HashMap<StepKey, StepAdvice>,
    pool: AdviserPool,
    approval_rates: HashMap<QueueName, f64>,
    /// Resources tentatively reserved by the requests in flight, by executor.
    tentative: HashMap<ExecutorSlot, Resources>,
}

impl AdviceTable {
    /// Sets the members of the cell that can reach the adviser.
    pub fn set_members(&mut self, members: &[MemberId]) {
        self.pool.set(members);
    }

    /// Returns the advice for a step.
    pub fn step(&self, key: StepKey) -> Option<&StepAdvice> {
        self.steps.get(&key)
    }

    /// Returns the moving average of the share of executors that the adviser has approved for a queue.
    pub fn approval_rate(&self, queue: &QueueName) -> f64 {
        self.approval_rates
            .get(queue)
            .copied()
            .unwrap_or(INITIAL_APPROVAL_RATE)
    }

    /// Returns true if a request may be sent for a step now.
    pub fn may_request(&self, key: StepKey, now: Timestamp) -> bool {
        let step = self.steps.get(&key);
        step.is_none_or(|step| !step.in_flight && now >= step.retry_at)
    }

    /// Postpones the next request for a step.
    pub fn postpone(&mut self, key: StepKey, until: Timestamp) {
        let step = self.steps.entry(key).or_default();
        step.retry_at = step.retry_at.max(until);
    }

    /// Defers a request until it can start more tasks. Returns true once it has been deferred for too long.
    pub fn defer(&mut self, key: StepKey, now: Timestamp) -> bool {
        let step = self.steps.entry(key).or_default();
        let since = *step.deferred_since.get_or_insert(now);
        now.since(since) > MAX_DEFERRAL
    }

    /// Returns true if an endpoint can take a request of `cost`.
    pub fn can_serve(&mut self, cost: Millis, now: Timestamp) -> bool {
        self.pool.find(cost, now).is_some()
    }

    /// Assigns a request of `cost` to an endpoint, and reserves tentatively what it is expected to start on the executors
    /// that it names. Returns `None` if the request has to wait.
    pub fn begin_request(
        &mut self,
        key: StepKey,
        cost: Millis,
        named: &[(ExecutorSlot, Resources)],
        now: Timestamp,
    ) -> Option<MemberId> {
        let endpoint = self.pool.find(cost, now)?;
        endpoint.begin(cost);
        let member = endpoint.member.clone();
        let step = self.steps.entry(key).or_default();
        step.in_flight = true;
        step.deferred_since = None;
        step.tentative = named.to_vec();
        for (slot, need) in named {
            let sum = self.tentative.entry(*slot).or_default();
            *sum = sum.saturating_add(*need);
        }
        Some(member)
    }

    /// Returns the resources of an executor that requests in flight have tentatively reserved.
    pub fn tentative(&self, slot: ExecutorSlot) -> Resources {
        self.tentative.get(&slot).copied().unwrap_or_default()
    }

    /// Releases the endpoint of a request that was answered after `took`; `None` if it was not answered.
    pub fn end_request(
        &mut self,
        member: &MemberId,
        cost: Millis,
        took: Option<Millis>,
        now: Timestamp,
    ) {
        let Some(endpoint) = self.pool.of(member) else {
            return;
        };
        match took {
            Some(took) => endpoint.answered(cost, took),
            None => endpoint.failed(cost, now),
        }
    }

    /// Records the response to a request that named the executors `named`; `None` if there was none.
    pub fn record_response(
        &mut self,
        key: StepKey,
        queue: Option<&QueueName>,
        named: &[ExecutorSlot],
        approvals: Option<Vec<Approval>>,
        now: Timestamp,
    ) {
        let Some(step) = self.steps.get_mut(&key) else {
            return;
        };
        step.in_flight = false;
        release_tentative(&mut self.tentative, step);
        let Some(approvals) = approvals else {
            step.retry_at = now.after(RETRY_DELAY);
            return;
        };
        step.answered_at = now;
        let unevaluated = named
            .iter()
            .filter(|slot| !step.is_evaluated(**slot))
            .count();
        let before = step.approvals.len();
        let is_approved =
            |slot: &ExecutorSlot| approvals.iter().any(|approval| approval.slot == *slot);
        step.rejected
            .extend(named.iter().copied().filter(|slot| !is_approved(slot)));
        approvals
            .into_iter()
            .for_each(|approval| step.approve(approval));
        let found = step.approvals.len().saturating_sub(before);
        if let Some(queue) = queue
            && unevaluated > 0
        {
            let rate = found as f64 / unevaluated as f64;
            let mean = self
                .approval_rates
                .entry(queue.clone())
                .or_insert(INITIAL_APPROVAL_RATE);
            *mean += (rate - *mean) * APPROVAL_RATE_WEIGHT;
        }
    }

    /// Expires a ticket that an executor has refused.
    pub fn invalidate_ticket(&mut self, key: StepKey, slot: ExecutorSlot) {
        if let Some(step) = self.steps.get_mut(&key)
            && let Some(approval) = step
                .approvals
                .iter_mut()
                .find(|approval| approval.slot == slot)
        {
            approval.valid_until = Timestamp::default();
        }
    }

    /// Removes a step that has ended.
    pub fn forget(&mut self, key: StepKey) {
        if let Some(mut step) = self.steps.remove(&key) {
            release_tentative(&mut self.tentative, &mut step);
        }
    }
}

fn release_tentative(tentative: &mut HashMap<ExecutorSlot, Resources>, step: &mut StepAdvice) {
    for (slot, need) in step.tentative.drain(..) {
        if let Some(sum) = tentative.get_mut(&slot) {
            *sum = sum.saturating_sub(need);
        }
    }
}
