use lagoon_core::id::ProcessId;
use serde::{Deserialize, Serialize};

use crate::fault::{FaultMode, FaultTarget};

/// A fault and the requests that it applies to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRule {
    /// Fakes that the fault applies to.
    pub target: FaultTarget,
    /// Kind of the fault.
    pub mode: FaultMode,
    /// Remaining number of requests; `None` for every request until the rule is cleared.
    #[serde(default)]
    pub count: Option<u32>,
    /// Process whose requests are affected; `None` for every process.
    #[serde(default)]
    pub process: Option<ProcessId>,
}

impl FaultRule {
    /// Returns a rule that applies `mode` to every request to `target`.
    pub fn new(target: FaultTarget, mode: FaultMode) -> Self {
        Self {
            target,
            mode,
            count: None,
            process: None,
        }
    }

    /// Limits the rule to the next `count` requests.
    pub fn times(mut self, count: u32) -> Self {
        self.count = Some(count);
        self
    }

    /// Limits the rule to requests from one process.
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
