use std::collections::{BTreeSet, HashMap};

use crate::health::HealthChange;
use crate::health::failure_record::FailureRecord;
use crate::id::WorkerId;
use crate::policy::HealthPolicy;
use crate::unit::Timestamp;

/// Which workers rest because they failed what they started.
#[derive(Debug)]
pub struct WorkerHealth {
    policy: HealthPolicy,
    records: HashMap<WorkerId, FailureRecord>,
    rest_ends: BTreeSet<(Timestamp, WorkerId)>,
}

impl WorkerHealth {
    /// Starts without failures.
    pub fn new(policy: HealthPolicy) -> Self {
        Self {
            policy,
            records: HashMap::new(),
            rest_ends: BTreeSet::new(),
        }
    }

    /// Decides by new limits from now on; current rests keep their end.
    pub fn set_policy(&mut self, policy: HealthPolicy) {
        self.policy = policy;
    }

    /// Records that a worker failed what it started. `fleet` is the number of known workers.
    pub fn record_failure(&mut self, id: &WorkerId, now: Timestamp, fleet: usize) -> HealthChange {
        let policy = self.policy;
        let record = self.records.entry(id.clone()).or_default();
        let failing = record.add(now, policy.window, policy.failures);
        if !failing || record.rested_until.is_some() {
            return HealthChange::None;
        }
        // In a small shard the share rounds down to nothing, and one failing worker would then fail all that it gets.
        let at_least = u64::from(fleet > 1 && policy.rested_share_cap_percent.get() > 0);
        let cap = policy
            .rested_share_cap_percent
            .of(fleet as u64)
            .max(at_least);
        if self.rest_ends.len() as u64 >= cap {
            return HealthChange::CapReached;
        }
        let until = now.after(policy.rest);
        record.rested_until = Some(until);
        record.clear();
        self.rest_ends.insert((until, id.clone()));
        HealthChange::Rested(until)
    }

    /// Records a success, which resets the failures; returns whether it ended a rest.
    pub fn record_success(&mut self, id: &WorkerId) -> bool {
        self.remove(id)
    }

    /// Ends the rests that are over at `now` and returns their workers.
    pub fn end_expired_rests(&mut self, now: Timestamp) -> Vec<WorkerId> {
        let mut end_expired_rests = Vec::new();
        while let Some((until, _)) = self.rest_ends.first()
            && *until <= now
        {
            if let Some((_, id)) = self.rest_ends.pop_first() {
                self.records.remove(&id);
                end_expired_rests.push(id);
            }
        }
        end_expired_rests
    }

    /// Forgets a worker; returns whether it was at rest.
    pub fn remove(&mut self, id: &WorkerId) -> bool {
        let record = self.records.remove(id);
        let until = record.and_then(|record| record.rested_until);
        until.is_some_and(|until| self.rest_ends.remove(&(until, id.clone())))
    }

    /// Tells whether a worker is at rest.
    pub fn is_rested(&self, id: &WorkerId) -> bool {
        let record = self.records.get(id);
        record.is_some_and(|record| record.rested_until.is_some())
    }

    /// Returns the number of workers at rest.
    pub fn rested_count(&self) -> usize {
        self.rest_ends.len()
    }
}
