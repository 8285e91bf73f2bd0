use std::fmt;

use lagoon_core::unit::Millis;

use crate::error::{CallEffect, ErrorKind};

/// Longest prefix of an error response's body that an error keeps, in characters.
const MAX_BODY_CHARS: usize = 512;

/// A failed call to the platform.
#[derive(Debug, Clone)]
pub struct PlatformError(Box<Inner>);

#[derive(Debug, Clone)]
struct Inner {
    call: String,
    kind: ErrorKind,
    connection_age: Option<Millis>,
}

impl PlatformError {
    /// Returns the error of `call`, which is described as method and URI.
    pub fn new(call: impl Into<String>, kind: ErrorKind) -> Self {
        let call = call.into();
        Self(Box::new(Inner {
            call,
            kind,
            connection_age: None,
        }))
    }

    /// Sets the age of the connection on which the call was sent, when the call was given up.
    pub(crate) fn on_connection(mut self, age: Option<Millis>) -> Self {
        self.0.connection_age = age;
        self
    }

    /// Returns the age of the connection on which the call was sent, when the call was given up; `None` if that is not known.
    pub fn connection_age(&self) -> Option<Millis> {
        self.0.connection_age
    }

    /// Returns the error for a response with an error status.
    pub fn refused(call: impl Into<String>, status: u16, body: &str) -> Self {
        let body = body.chars().take(MAX_BODY_CHARS).collect();
        Self::new(call, ErrorKind::Refused { status, body })
    }

    /// Returns the cause.
    pub fn kind(&self) -> &ErrorKind {
        &self.0.kind
    }

    /// Returns whether the call may have had an effect.
    ///
    /// The platform returns 503 and 507 before it acts. It may return any other 5xx status in the middle of an
    /// operation.
    pub fn effect(&self) -> CallEffect {
        match self.kind() {
            ErrorKind::Unreachable(_)
            | ErrorKind::NotAdmitted
            | ErrorKind::Timeout { sent: false } => CallEffect::None,
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
