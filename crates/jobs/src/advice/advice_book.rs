use std::collections::HashMap;

use lagoon_core::unit::{Millis, Timestamp};

use crate::advice::{Grant, Lane, StepAdvice};
use crate::fleet::ExecutorSlot;
use crate::id::{MemberId, QueueName, StepKey};

/// A question that takes longer is slow; it blocks its lane for others.
const SLOW: Millis = Millis::new(150);
/// Share of good executors that is expected before the first answer.
const FIRST_SHARE: f64 = 0.4;
/// Weight of a new answer against the mean share so far.
const SHARE_WEIGHT: f64 = 0.1;
/// Pause after a question that failed.
const RETRY_PAUSE: Millis = Millis::new(100);

/// All advice that was asked for and not used up.
#[derive(Debug, Clone, Default)]
pub struct AdviceBook {
    steps: HashMap<StepKey, StepAdvice>,
    lanes: Vec<Lane>,
    shares: HashMap<QueueName, f64>,
}

impl AdviceBook {
    /// Sets the members that can ask.
    pub fn set_lanes(&mut self, members: &[MemberId]) {
        self.lanes.retain(|lane| members.contains(&lane.member));
        for member in members {
            if !self.lanes.iter().any(|lane| lane.member == *member) {
                self.lanes.push(Lane {
                    member: member.clone(),
                    pending: 0,
                    slow: 0,
                });
            }
        }
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

    /// Tells whether a lane is free for a question that takes `cost`.
    pub fn has_lane(&self, cost: Millis) -> bool {
        let slow = cost > SLOW;
        let slow_lanes = self.lanes.iter().filter(|lane| lane.slow > 0).count();
        if slow && slow_lanes * 2 >= self.lanes.len().max(2) {
            return false;
        }
        self.lanes.iter().any(|lane| lane.is_free(slow))
    }

    /// Books a lane for a question that takes `cost`; `None` if all are taken.
    pub fn book(&mut self, key: StepKey, cost: Millis) -> Option<MemberId> {
        if !self.has_lane(cost) {
            return None;
        }
        let slow = cost > SLOW;
        let free = self.lanes.iter_mut().filter(|lane| lane.is_free(slow));
        let lane = free.min_by_key(|lane| (lane.slow, lane.pending))?;
        lane.pending += 1;
        lane.slow += u32::from(slow);
        self.steps.entry(key).or_default().asking = true;
        Some(lane.member.clone())
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
        self.steps.remove(&key);
    }

    /// Frees a lane that was booked for a question that takes `cost`.
    pub fn release(&mut self, member: &MemberId, cost: Millis) {
        if let Some(lane) = self.lanes.iter_mut().find(|lane| lane.member == *member) {
            lane.pending = lane.pending.saturating_sub(1);
            lane.slow = lane.slow.saturating_sub(u32::from(cost > SLOW));
        }
    }
}
