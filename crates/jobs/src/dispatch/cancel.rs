use lagoon_core::unit::Timestamp;

use crate::dispatch::Dispatcher;
use crate::id::{JobId, TaskKey};
use crate::job::JobState;

impl<S> Dispatcher<S> {
    /// Cancels a job and stops its runs. Has no effect on a job that is not known or has ended.
    pub fn cancel(&mut self, id: JobId, now: Timestamp) {
        let core = &mut self.core;
        if !core.jobs.get(id).is_some_and(|job| job.is_live()) {
            tracing::debug!(job = %id, "dispatch: job to cancel is not known or has ended");
            return;
        }
        let tasks: Vec<TaskKey> = core.runs.of_job(id).map(|run| run.task).collect();
        tracing::info!(job = %id, runs = tasks.len(), "dispatch: job cancelled");
        core.end_job(id, JobState::Cancelled, now);
    }
}
