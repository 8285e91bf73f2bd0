use serde::Serialize;

use crate::id::StepKey;
use crate::report::{RunReport, WaitReason};

/// State of one step of an occurrence that has begun.
#[derive(Debug, Clone, Serialize)]
pub struct StepReport {
    /// Id of the step.
    pub step: StepKey,
    /// Number of tasks.
    pub tasks: u32,
    /// Number of tasks that wait to be started.
    pub waiting: u32,
    /// Why they wait; `None` if no task waits.
    pub waits_for: Option<WaitReason>,
    /// Runs that exist or may exist.
    pub runs: Vec<RunReport>,
}
