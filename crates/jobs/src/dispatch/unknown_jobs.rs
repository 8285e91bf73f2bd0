use lagoon_core::unit::{Millis, Timestamp};

use crate::dispatch::core::Core;
use crate::dispatch::{Dispatcher, Effect, Serving, StoredJob};
use crate::fleet::ExecutorSlot;
use crate::id::JobId;
use crate::run::EndedRun;

/// Time after which a lookup is repeated, because the store may not have answered.
const LOOKUP_RETRY: Millis = Millis::new(1_000);

impl Dispatcher<Serving> {
    /// Handles the result of looking up a job that an executor names. A job is stored before its first start, so the ends and
    /// runs of a job that the store does not hold need not be kept.
    pub fn job_looked_up(&mut self, id: JobId, found: StoredJob, now: Timestamp) {
        if self.core.jobs.is_known(id) {
            return;
        }
        match found {
            StoredJob::Live(record) => return self.submit(id, record, now),
            StoredJob::Ended(state) => self.core.jobs.insert_ended(id, state, now),
            StoredJob::Absent => {
                tracing::warn!(job = %id, "dispatch: a job that executors name is not in the store, its runs are stopped");
                self.core.missing_jobs.insert(id);
            }
        }
        self.core.apply_deferred(id, now);
    }
}

impl Core {
    /// Defers an end until its job is known. Returns false if the end can be handled now. The executor lists it again until it
    /// is acknowledged.
    pub(super) fn defer_if_job_unknown(
        &mut self,
        slot: ExecutorSlot,
        end: &EndedRun,
        now: Timestamp,
    ) -> bool {
        let job = end.task.job();
        if self.is_job_resolved(job) {
            return false;
        }
        let executor = self.fleet.get_mut(slot);
        if executor.ends.defer(end) {
            tracing::info!(task = %end.task, run = %end.number, executor = %executor.entry.id, "dispatch: run of an unknown job ended, looking the job up");
        }
        self.request_lookup(job, now);
        true
    }

    /// Returns true if a job is known, or known not to exist.
    pub(super) fn is_job_resolved(&self, job: JobId) -> bool {
        self.jobs.is_known(job) || self.missing_jobs.contains(&job)
    }

    /// Applies the deferred ends of a job and adopts its runs that were listed before it was known.
    pub(super) fn apply_deferred(&mut self, id: JobId, now: Timestamp) {
        self.lookups.remove(&id);
        let slots: Vec<ExecutorSlot> = self.fleet.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            for end in self.fleet.get(slot).ends.deferred_for(id) {
                self.handle_end(slot, &end, now);
            }
        }
        self.adopt_unexpected_runs(id, now);
    }

    /// Requests the lookup of a job that is not known, unless one was requested within `LOOKUP_RETRY`.
    pub(super) fn request_lookup(&mut self, job: JobId, now: Timestamp) {
        let last = self.lookups.get(&job);
        if last.is_none_or(|last| now > last.after(LOOKUP_RETRY)) {
            self.lookups.insert(job, now);
            self.effects.push(Effect::LookUpJob(job));
        }
    }
}
