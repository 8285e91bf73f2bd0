use lagoon_core::unit::Millis;
use serde::{Deserialize, Serialize};

/// Kind of an injected fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultMode {
    /// Handles the request, then closes the connection without a response.
    DropAnswer,
    /// Waits before handling the request.
    Delay(Millis),
    /// Responds with status 503 without handling the request.
    Refuse,
    /// Neither handles the request nor responds until the rule is cleared.
    Freeze,
    /// Closes the connection without handling the request.
    Unreachable,
}
