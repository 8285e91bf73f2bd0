//! What an owner believes, for operators: why a job waits, where its tasks run, and which executors are trusted.
//!
//! A report is a copy taken under the dispatcher's lock; it says nothing about what changes afterwards.

mod executor_report;
mod job_report;
mod run_report;
mod step_report;
mod wait_reason;

pub use self::{
    executor_report::ExecutorReport, job_report::JobReport, run_report::RunReport,
    step_report::StepReport, wait_reason::WaitReason,
};
