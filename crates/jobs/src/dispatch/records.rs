use lagoon_core::unit::Timestamp;

use crate::dispatch::{Dispatcher, Serving};
use crate::id::JobId;
use crate::job::Progress;
use crate::record::RecordNumber;

impl Dispatcher<Serving> {
    /// Takes up to `max` jobs whose progress has to be written, in one write.
    pub fn take_records(&mut self, max: usize) -> Vec<(JobId, RecordNumber, Progress)> {
        let taken = self.core.ledger.take(max);
        let jobs = &self.core.jobs;
        let progress = |id| jobs.get(id).map(|job| job.progress()).unwrap_or_default();
        taken
            .into_iter()
            .map(|(id, number)| (id, number, progress(id)))
            .collect()
    }

    /// Tells whether progress waits to be written.
    pub fn has_records(&self) -> bool {
        self.core.ledger.has_changes()
    }

    /// Notes that a write took effect.
    pub fn recorded(&mut self, jobs: &[(JobId, RecordNumber)]) {
        self.core.ledger.written(jobs);
    }

    /// Puts back the jobs of a write that had no effect or an unknown one.
    pub fn not_recorded(&mut self, jobs: &[(JobId, RecordNumber)]) {
        self.core.ledger.put_back(jobs);
    }

    /// Returns up to `max` jobs whose final state has been kept for its time.
    pub fn expired(&self, max: usize, now: Timestamp) -> Vec<JobId> {
        let core = &self.core;
        let is_expired = |job: &&crate::job::Job| {
            !job.is_live()
                && core.ledger.is_durable(job.id(), job.ended_by)
                && now > job.ended_at.after(core.limits.retention)
        };
        let expired = core.jobs.iter().filter(is_expired);
        expired.map(|job| job.id()).take(max).collect()
    }

    /// Forgets jobs that were removed from the store.
    pub fn forget(&mut self, jobs: &[JobId]) {
        for id in jobs {
            self.core.jobs.remove(*id);
            self.core.ledger.forget(*id);
        }
    }
}
