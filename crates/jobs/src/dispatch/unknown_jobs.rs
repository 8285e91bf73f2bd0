use lagoon_core::unit::{Millis, Timestamp};

use crate::dispatch::core::Core;
use crate::dispatch::{Dispatcher, Effect, Serving, StoredJob};
use crate::fleet::ExecutorSlot;
use crate::id::JobId;
use crate::run::EndedRun;

/// Time after which a job is looked for again; the store may not have answered.
const LOOK_AGAIN: Millis = Millis::new(1_000);

impl Dispatcher<Serving> {
    /// Takes in what the store holds of a job that an executor names. A job is stored before its first start, so one that the
    /// store does not hold can be forgotten.
    pub fn job_looked_up(&mut self, id: JobId, found: StoredJob, now: Timestamp) {
        if self.core.jobs.is_known(id) {
            return;
        }
        match found {
            StoredJob::Live(record) => return self.submit(id, record, now),
            StoredJob::Ended(state) => self.core.jobs.insert_ended(id, state, now),
            StoredJob::Absent => {
                tracing::warn!(job = %id, "dispatch: the store does not hold a job that executors name");
                self.core.absent.insert(id);
            }
        }
        self.core.apply_waiting(id, now);
    }
}

impl Core {
    /// Tells whether an end has to wait for its job to become known; the executor lists it again until it is acknowledged.
    pub(super) fn waits_for_job(
        &mut self,
        slot: ExecutorSlot,
        end: &EndedRun,
        now: Timestamp,
    ) -> bool {
        let job = end.task.job();
        if self.is_settled_job(job) {
            return false;
        }
        let executor = self.fleet.get_mut(slot);
        if executor.ends.defer(end) {
            tracing::info!(task = %end.task, run = %end.number, executor = %executor.entry.id, "dispatch: end of an unknown job waits");
        }
        self.look_for(job, now);
        true
    }

    /// Tells whether a job is known, or known not to exist.
    pub(super) fn is_settled_job(&self, job: JobId) -> bool {
        self.jobs.is_known(job) || self.absent.contains(&job)
    }

    /// Applies the ends of a job and adopts its runs that were listed before it was known.
    pub(super) fn apply_waiting(&mut self, id: JobId, now: Timestamp) {
        self.unknown.remove(&id);
        let slots: Vec<ExecutorSlot> = self.fleet.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            for end in self.fleet.get(slot).ends.deferred_for(id) {
                self.handle_end(slot, &end, now);
            }
        }
        self.adopt_strays(id, now);
    }

    /// Orders to look for a job that is not known, unless that was ordered a moment ago.
    pub(super) fn look_for(&mut self, job: JobId, now: Timestamp) {
        let last = self.unknown.get(&job);
        if last.is_none_or(|last| now > last.after(LOOK_AGAIN)) {
            self.unknown.insert(job, now);
            self.orders.push(Effect::LookUpJob(job));
        }
    }
}
