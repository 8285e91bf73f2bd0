use lagoon_core::unit::Timestamp;

use crate::dispatch::{Dispatcher, Serving};
use crate::id::JobId;
use crate::job::{JobState, Progress};
use crate::record::{RecordLane, RecordNumber};

impl Dispatcher<Serving> {
    /// Takes up to `max` jobs of a lane whose progress is to be stored, for one write.
    pub fn take_records(
        &mut self,
        lane: RecordLane,
        max: usize,
    ) -> Vec<(JobId, RecordNumber, Progress)> {
        let taken = self.core.write_queue.take(lane, max);
        let jobs = &self.core.jobs;
        let progress = |id| jobs.get(id).map(|job| job.progress()).unwrap_or_default();
        taken
            .into_iter()
            .map(|(id, number)| (id, number, progress(id)))
            .collect()
    }

    /// Returns the number of jobs of a lane whose progress is not written yet.
    pub fn records_waiting(&self, lane: RecordLane) -> usize {
        self.core.write_queue.waiting(lane)
    }

    /// Records that a write took effect.
    pub fn recorded(&mut self, jobs: &[(JobId, RecordNumber)]) {
        let core = &mut self.core;
        core.write_queue.mark_written(jobs);
        for (id, _) in jobs {
            let job = core.jobs.get(*id);
            let ended = job.filter(|job| !job.is_live());
            if let Some(job) = ended.filter(|job| core.write_queue.is_durable(*id, job.end_record))
            {
                core.cleanup.push(*id, job.state());
                core.jobs.compact(*id);
            }
        }
    }

    /// Takes up to `max` ended jobs of a lane whose keys are to be removed from the store, except for the final state.
    pub fn take_cleanups(&mut self, lane: RecordLane, max: usize) -> Vec<(JobId, JobState)> {
        self.core.cleanup.take(lane, max)
    }

    /// Requeues ended jobs whose keys could not be removed.
    pub fn requeue_cleanups(&mut self, jobs: Vec<(JobId, JobState)>) {
        self.core.cleanup.requeue(jobs);
    }

    /// Requeues the jobs of a write that had no effect, or whose effect is not known.
    pub fn not_recorded(&mut self, jobs: &[(JobId, RecordNumber)]) {
        self.core.write_queue.requeue(jobs);
    }

    /// Returns up to `max` ended jobs of a lane whose retention time has passed.
    pub fn expired(&self, lane: RecordLane, max: usize, now: Timestamp) -> Vec<JobId> {
        let core = &self.core;
        let is_expired = |at: Timestamp| now > at.after(core.limits.retention);
        let of_lane = |id: JobId| core.write_queue.lane(id) == lane;
        let ended = core.jobs.all_ended().filter(|(id, _)| of_lane(*id));
        let expired = ended.filter(|(_, at)| is_expired(*at));
        expired.map(|(id, _)| id).take(max).collect()
    }

    /// Returns up to `max` jobs of a lane that are not known and whose stored cancellation has been kept long enough.
    pub fn expired_cancellations(
        &self,
        lane: RecordLane,
        max: usize,
        now: Timestamp,
    ) -> Vec<JobId> {
        let core = &self.core;
        let kept = core.limits.cancellation_retention;
        let limit = Timestamp::from_millis(now.as_millis().saturating_sub(kept.get()));
        let expired = core.pending_cancellations.observed_before(limit);
        let of_lane = expired.filter(|id| core.write_queue.lane(*id) == lane);
        of_lane.take(max).collect()
    }

    /// Forgets cancellations that were removed from the store.
    pub fn forget_cancellations(&mut self, jobs: &[JobId]) {
        for id in jobs {
            self.core.pending_cancellations.remove(*id);
        }
    }

    /// Removes jobs that were removed from the store.
    pub fn forget(&mut self, jobs: &[JobId]) {
        for id in jobs {
            self.core.jobs.remove(*id);
            self.core.write_queue.forget(*id);
            self.core.fleet.forget_job(*id);
        }
    }
}
