use std::collections::BTreeMap;

use lagoon_core::unit::Timestamp;

use crate::id::JobId;

/// Stored cancellations of jobs that are not known, each with the time at which it was last observed. The write of such a job
/// may still be in flight, and the stored cancellation keeps it from taking effect.
#[derive(Debug, Clone, Default)]
pub struct PendingCancellations {
    observed: BTreeMap<JobId, Timestamp>,
}

impl PendingCancellations {
    /// Adds the cancellation of a job, or records that it was observed again.
    pub fn insert(&mut self, id: JobId, now: Timestamp) {
        self.observed.insert(id, now);
    }

    /// Removes the cancellation of a job. Returns true if there was one.
    pub fn remove(&mut self, id: JobId) -> bool {
        self.observed.remove(&id).is_some()
    }

    /// Returns the jobs whose cancellation was last observed before `limit`.
    pub fn observed_before(&self, limit: Timestamp) -> impl Iterator<Item = JobId> {
        let earlier = self.observed.iter().filter(move |(_, at)| **at < limit);
        earlier.map(|(id, _)| *id)
    }
}
