use std::fmt;

use serde::{Deserialize, Serialize};

use crate::code::{RefusalClass, ResultCode};
use crate::unit::Millis;

/// A refusal of work: a code, the reason, and when to retry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Result code.
    pub code: ResultCode,
    /// One sentence for the caller that states the reason.
    pub message: String,
    /// Shortest useful wait before a retry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// Creates a refusal without a time for a retry.
    pub fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Sets the shortest useful wait before a retry.
    pub fn retry_after(mut self, wait: Millis) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Returns the class of the code.
    pub fn class(&self) -> RefusalClass {
        self.code.class()
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {}: {}",
            self.code.number(),
            self.code.name(),
            self.message
        )
    }
}

impl std::error::Error for Refusal {}
