use std::collections::{BTreeSet, HashMap};

use crate::health::HealthChange;
use crate::health::failure_record::FailureRecord;
use crate::id::WorkerId;
use crate::policy::HealthPolicy;
use crate::unit::Timestamp;

/// Failures of the workers, and which of them rest because of failures.
#[derive(Debug)]
pub struct WorkerHealth {
    policy: HealthPolicy,
    records: HashMap<WorkerId, FailureRecord>,
    rest_ends: BTreeSet<(Timestamp, WorkerId)>,
}

impl WorkerHealth {
    /// Creates a record without failures.
    pub fn new(policy: HealthPolicy) -> Self {
        Self {
            policy,
            records: HashMap::new(),
            rest_ends: BTreeSet::new(),
        }
    }

    /// Replaces the policy. Current rests end as planned.
    pub fn set_policy(&mut self, policy: HealthPolicy) {
        self.policy = policy;
    }

    /// Records a failure of a worker. `fleet` is the number of known workers.
    pub fn record_failure(&mut self, id: &WorkerId, now: Timestamp, fleet: usize) -> HealthChange {
        let policy = self.policy;
        let record = self.records.entry(id.clone()).or_default();
        let failing = record.add(now, policy.window, policy.failures);
        if !failing || record.rested_until.is_some() {
            return HealthChange::None;
        }
        // In a small shard the share rounds down to 0, and a failing worker would keep receiving work.
        let min_rested = u64::from(fleet > 1 && policy.rested_share_cap_percent.get() > 0);
        let cap = policy
            .rested_share_cap_percent
            .of(fleet as u64)
            .max(min_rested);
        if self.rest_ends.len() as u64 >= cap {
            return HealthChange::CapReached;
        }
        let until = now.after(policy.rest);
        record.rested_until = Some(until);
        record.clear();
        self.rest_ends.insert((until, id.clone()));
        HealthChange::Rested(until)
    }

    /// Records a success, which clears the failures. Returns true if it ended a rest.
    pub fn record_success(&mut self, id: &WorkerId) -> bool {
        self.remove(id)
    }

    /// Ends the rests that have expired at `now` and returns their workers.
    pub fn end_expired_rests(&mut self, now: Timestamp) -> Vec<WorkerId> {
        let mut ended = Vec::new();
        while let Some((until, _)) = self.rest_ends.first()
            && *until <= now
        {
            if let Some((_, id)) = self.rest_ends.pop_first() {
                self.records.remove(&id);
                ended.push(id);
            }
        }
        ended
    }

    /// Removes the record of a worker. Returns true if it was resting.
    pub fn remove(&mut self, id: &WorkerId) -> bool {
        let record = self.records.remove(id);
        let until = record.and_then(|record| record.rested_until);
        until.is_some_and(|until| self.rest_ends.remove(&(until, id.clone())))
    }

    /// Returns true if a worker is resting.
    pub fn is_rested(&self, id: &WorkerId) -> bool {
        let record = self.records.get(id);
        record.is_some_and(|record| record.rested_until.is_some())
    }

    /// Returns the number of resting workers.
    pub fn rested_count(&self) -> usize {
        self.rest_ends.len()
    }
}
