use std::collections::HashMap;

use lagoon_core::unit::{Millis, Resources, Timestamp};

use crate::advice::{Grant, Lanes, StepAdvice};
use crate::fleet::ExecutorSlot;
use crate::id::{MemberId, QueueName, StepKey};

/// Share of good executors that is expected before the first answer.
const FIRST_SHARE: f64 = 0.4;
/// Weight of a new answer against the mean share so far.
const SHARE_WEIGHT: f64 = 0.1;
/// Longest time for which a question is put off that would start few tasks; short against the objectives of the queues
/// whose questions are costly.
const LONGEST_WAIT: Millis = Millis::new(700);
/// Pause after a question that failed.
const RETRY_PAUSE: Millis = Millis::new(100);

/// All advice that was asked for and not used up.
#[derive(Debug, Clone, Default)]
pub struct AdviceBook {
    steps: HashMap<StepKey, StepAdvice>,
    lanes: Lanes,
    shares: HashMap<QueueName, f64>,
    /// Sum of what open questions are expected to use, by executor.
    promised: HashMap<ExecutorSlot, Resources>,
}

impl AdviceBook {
    /// Sets the members that can ask.
    pub fn set_lanes(&mut self, members: &[MemberId]) {
        self.lanes.set(members);
    }

    /// Returns what is known of a step.
    pub fn step(&self, key: StepKey) -> Option<&StepAdvice> {
        self.steps.get(&key)
    }

    /// Returns the share of named executors that were good, by the answers for a queue so far.
    pub fn good_share(&self, queue: &QueueName) -> f64 {
        self.shares.get(queue).copied().unwrap_or(FIRST_SHARE)
    }

    /// Tells whether a question may be asked for a step now.
    pub fn may_ask(&self, key: StepKey, now: Timestamp) -> bool {
        let step = self.steps.get(&key);
        step.is_none_or(|step| !step.asking && now >= step.not_before)
    }

    /// Puts a question off until it can start more tasks; true if that has lasted too long.
    pub fn has_waited(&mut self, key: StepKey, now: Timestamp) -> bool {
        let step = self.steps.entry(key).or_default();
        let since = *step.put_off_since.get_or_insert(now);
        now.since(since) > LONGEST_WAIT
    }

    /// Tells whether a lane is free for a question that takes `cost`.
    pub fn has_lane(&mut self, cost: Millis, now: Timestamp) -> bool {
        self.lanes.find(cost, now).is_some()
    }

    /// Books a lane for a question that takes `cost`, and notes what it is expected to use of the executors that it
    /// names; `None` if it has to wait.
    pub fn book(
        &mut self,
        key: StepKey,
        cost: Millis,
        named: &[(ExecutorSlot, Resources)],
        now: Timestamp,
    ) -> Option<MemberId> {
        let lane = self.lanes.find(cost, now)?;
        lane.begin(cost);
        let member = lane.member.clone();
        let step = self.steps.entry(key).or_default();
        step.asking = true;
        step.put_off_since = None;
        step.promised = named.to_vec();
        for (slot, used) in named {
            let sum = self.promised.entry(*slot).or_default();
            *sum = sum.saturating_add(*used);
        }
        Some(member)
    }

    /// Returns what open questions are expected to use of an executor.
    pub fn promised(&self, slot: ExecutorSlot) -> Resources {
        self.promised.get(&slot).copied().unwrap_or_default()
    }

    /// Frees the lane of a question that was answered after `took`; `None` if it had no answer.
    pub fn release(
        &mut self,
        member: &MemberId,
        cost: Millis,
        took: Option<Millis>,
        now: Timestamp,
    ) {
        let Some(lane) = self.lanes.of(member) else {
            return;
        };
        match took {
            Some(took) => lane.answered(cost, took),
            None => lane.failed(cost, now),
        }
    }

    /// Takes in the answer to a question that named `named`; `None` if there was none.
    pub fn answer(
        &mut self,
        key: StepKey,
        queue: Option<&QueueName>,
        named: &[ExecutorSlot],
        grants: Option<Vec<Grant>>,
        now: Timestamp,
    ) {
        let Some(step) = self.steps.get_mut(&key) else {
            return;
        };
        step.asking = false;
        free_promise(&mut self.promised, step);
        let Some(grants) = grants else {
            step.not_before = now.after(RETRY_PAUSE);
            return;
        };
        step.answered = now;
        let unjudged = named.iter().filter(|slot| !step.is_judged(**slot)).count();
        let before = step.grants.len();
        let is_good = |slot: &ExecutorSlot| grants.iter().any(|grant| grant.slot == *slot);
        step.rejected
            .extend(named.iter().copied().filter(|slot| !is_good(slot)));
        grants.into_iter().for_each(|grant| step.grant(grant));
        let found = step.grants.len().saturating_sub(before);
        if let Some(queue) = queue
            && unjudged > 0
        {
            let share = found as f64 / unjudged as f64;
            let mean = self.shares.entry(queue.clone()).or_insert(FIRST_SHARE);
            *mean += (share - *mean) * SHARE_WEIGHT;
        }
    }

    /// Drops a ticket that an executor refused.
    pub fn drop_ticket(&mut self, key: StepKey, slot: ExecutorSlot) {
        if let Some(step) = self.steps.get_mut(&key)
            && let Some(grant) = step.grants.iter_mut().find(|grant| grant.slot == slot)
        {
            grant.valid_until = Timestamp::default();
        }
    }

    /// Forgets a step that is done or given up.
    pub fn forget(&mut self, key: StepKey) {
        if let Some(mut step) = self.steps.remove(&key) {
            free_promise(&mut self.promised, &mut step);
        }
    }
}

fn free_promise(promised: &mut HashMap<ExecutorSlot, Resources>, step: &mut StepAdvice) {
    for (slot, used) in step.promised.drain(..) {
        if let Some(sum) = promised.get_mut(&slot) {
            *sum = sum.saturating_sub(used);
        }
    }
}
