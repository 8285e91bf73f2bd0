use std::fmt;

use crate::error::{CallEffect, ErrorKind};

/// Longest part of a refusal's body that an error keeps, in characters.
const MAX_BODY_CHARS: usize = 512;

/// A failed call to the platform.
#[derive(Debug, Clone)]
pub struct PlatformError(Box<Inner>);

#[derive(Debug, Clone)]
struct Inner {
    call: String,
    kind: ErrorKind,
}

impl PlatformError {
    /// Adds the call, such as `GET /hosts`, to what went wrong.
    pub fn new(call: impl Into<String>, kind: ErrorKind) -> Self {
        let call = call.into();
        Self(Box::new(Inner { call, kind }))
    }

    /// Reports an answer with an error status.
    pub fn refused(call: impl Into<String>, status: u16, body: &str) -> Self {
        let body = body.chars().take(MAX_BODY_CHARS).collect();
        Self::new(call, ErrorKind::Refused { status, body })
    }

    /// Returns what went wrong.
    pub fn kind(&self) -> &ErrorKind {
        &self.0.kind
    }

    /// Tells whether the call may have had an effect.
    ///
    /// The platform answers 503 and 507 before it acts. Any other 5xx status may come from the middle of an operation.
    pub fn effect(&self) -> CallEffect {
        match self.kind() {
            ErrorKind::Unreachable(_) | ErrorKind::Timeout { sent: false } => CallEffect::None,
            ErrorKind::Refused {
                status: 400..=499 | 503 | 507,
                ..
            } => CallEffect::None,
            _ => CallEffect::Unknown,
        }
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.0.call, self.0.kind)
    }
}

impl std::error::Error for PlatformError {}
