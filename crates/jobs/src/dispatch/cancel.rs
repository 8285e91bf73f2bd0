use lagoon_core::unit::Timestamp;

use crate::dispatch::Dispatcher;
use crate::id::{JobId, TaskKey};
use crate::job::JobState;

impl<S> Dispatcher<S> {
    /// Cancels a job and stops its runs. Has no effect on a job that has ended. The cancellation of a job that is not known is
    /// kept, because the job may be stored or listed later.
    pub fn cancel(&mut self, id: JobId, now: Timestamp) {
        let core = &mut self.core;
        if !core.jobs.is_known(id) {
            tracing::debug!(job = %id, "dispatch: job to cancel is not known, keeping its cancellation");
            core.pending_cancellations.insert(id, now);
            return;
        }
        if !core.jobs.get(id).is_some_and(|job| job.is_live()) {
            tracing::debug!(job = %id, "dispatch: job to cancel has ended");
            return;
        }
        let tasks: Vec<TaskKey> = core.runs.of_job(id).map(|run| run.task).collect();
        tracing::info!(job = %id, runs = tasks.len(), "dispatch: job cancelled");
        core.end_job(id, JobState::Cancelled, now);
    }
}
