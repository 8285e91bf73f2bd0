use serde::Serialize;

use crate::id::StepKey;
use crate::report::{RunReport, WaitReason};

/// One step of an occurrence that has begun.
#[derive(Debug, Clone, Serialize)]
pub struct StepReport {
    /// The step.
    pub step: StepKey,
    /// Tasks of the step.
    pub tasks: u32,
    /// Tasks that wait to be started.
    pub waiting: u32,
    /// Why they wait; none if no task waits.
    pub waits_for: Option<WaitReason>,
    /// Runs that exist or may exist.
    pub runs: Vec<RunReport>,
}
