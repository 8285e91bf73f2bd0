use lagoon_core::unit::Millis;
use serde::{Deserialize, Serialize};

/// How a fake misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultMode {
    /// Acts on the request and closes the connection instead of answering.
    DropAnswer,
    /// Waits before it acts.
    Delay(Millis),
    /// Answers 503 without acting.
    Refuse,
    /// Neither acts nor answers until the rule is cleared.
    Freeze,
    /// Closes the connection without acting.
    Unreachable,
}
