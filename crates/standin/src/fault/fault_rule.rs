use lagoon_core::id::ProcessId;
use serde::{Deserialize, Serialize};

use crate::fault::{FaultMode, FaultTarget};

/// A fault and the calls that it applies to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRule {
    /// Fakes that misbehave.
    pub target: FaultTarget,
    /// How they misbehave.
    pub mode: FaultMode,
    /// Number of calls that are left; none for every call until the rule is cleared.
    #[serde(default)]
    pub count: Option<u32>,
    /// Calling process; none for every caller.
    #[serde(default)]
    pub process: Option<ProcessId>,
}

impl FaultRule {
    /// Applies `mode` to every call to `target`.
    pub fn new(target: FaultTarget, mode: FaultMode) -> Self {
        Self {
            target,
            mode,
            count: None,
            process: None,
        }
    }

    /// Limits the rule to the next calls.
    pub fn times(mut self, count: u32) -> Self {
        self.count = Some(count);
        self
    }

    /// Limits the rule to calls of one process.
    pub fn from_process(mut self, process: ProcessId) -> Self {
        self.process = Some(process);
        self
    }

    pub(crate) fn applies_to(&self, target: &FaultTarget, process: Option<&str>) -> bool {
        let caller = self.process.as_ref().map(ProcessId::as_str);
        self.count != Some(0)
            && (self.target == FaultTarget::All || self.target == *target)
            && (caller.is_none() || caller == process)
    }
}
