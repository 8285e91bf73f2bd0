//! Reports of the owner's state for operators: why a job waits, where its tasks run, and which executors are suspect.
//!
//! A report is a snapshot taken under the dispatcher's lock.

mod executor_report;
mod job_report;
mod run_report;
mod step_report;
mod wait_reason;

pub use self::{
    executor_report::ExecutorReport, job_report::JobReport, run_report::RunReport,
    step_report::StepReport, wait_reason::WaitReason,
};
