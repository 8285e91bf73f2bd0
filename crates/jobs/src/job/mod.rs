//! Jobs and their progress.
//!
//! A job runs its steps once per occurrence. Two parts of it are stored, so that they survive the owner: the
//! [`JobRecord`], written when the job is accepted, and the [`Progress`], written before an end is acknowledged.
//!
//! ```
//! use std::sync::Arc;
//!
//! use lagoon_core::unit::Timestamp;
//! use lagoon_jobs::job::{Job, JobRecord, JobState};
//! use lagoon_jobs::policy::Queue;
//! use lagoon_jobs::spec::{JobSpec, StepSpec};
//!
//! let spec = JobSpec::new("lot 7", vec![StepSpec::single()], None).unwrap();
//! let queue = Arc::new(Queue::example("reports", "a.example", "/reports/"));
//! let record = JobRecord::accept(&queue, Timestamp::from_millis(1), spec);
//! let job = Job::new("5c0e7a21d94b36f8".parse().unwrap(), record);
//! assert_eq!(job.state(), JobState::Queued);
//! ```

mod attempt_progress;
mod attempts;
#[expect(clippy::module_inception, reason = "one type per file")]
mod job;
mod job_record;
mod job_state;
mod job_table;
mod last_run;
mod location_progress;
mod occurrence;
mod pending_cancellations;
mod progress;
mod run_location;
mod run_times;
mod step;
mod step_progress;
mod task_phase;

pub use self::{
    attempt_progress::AttemptProgress, attempts::Attempts, job::Job, job_record::JobRecord,
    job_state::JobState, job_table::JobTable, last_run::LastRun,
    location_progress::LocationProgress, occurrence::Occurrence,
    pending_cancellations::PendingCancellations, progress::Progress, run_location::RunLocation,
    run_times::RunTimes, step::Step, step_progress::StepProgress, task_phase::TaskPhase,
};
