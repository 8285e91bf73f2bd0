use serde::{Deserialize, Serialize};

use crate::fault::{FaultRule, FaultTarget};

/// Body of `POST /faults`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultRequest {
    /// Adds a rule.
    Add(FaultRule),
    /// Removes the rules of a target; `all` removes every rule.
    Clear(FaultTarget),
}
