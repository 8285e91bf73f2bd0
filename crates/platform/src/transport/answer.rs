use bytes::Bytes;
use serde::de::DeserializeOwned;

use crate::error::{ErrorKind, PlatformError};

/// Status and whole body of an answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) call: String,
    pub(crate) status: u16,
    pub(crate) body: Bytes,
}

impl Answer {
    /// Parses the body.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, PlatformError> {
        serde_json::from_slice(&self.body)
            .map_err(|e| PlatformError::new(&self.call, ErrorKind::BadAnswer(e.to_string())))
    }

    /// Parses the body of an answer with status 200; any other status is a refusal.
    pub(crate) fn success<T: DeserializeOwned>(&self) -> Result<T, PlatformError> {
        match self.status {
            200 => self.json(),
            _ => Err(self.refusal()),
        }
    }

    /// Returns the body as text.
    pub(crate) fn text(self) -> Result<String, PlatformError> {
        String::from_utf8(self.body.into())
            .map_err(|e| PlatformError::new(&self.call, ErrorKind::BadAnswer(e.to_string())))
    }

    /// Reports the answer as a refusal.
    pub(crate) fn refusal(&self) -> PlatformError {
        let body = String::from_utf8_lossy(&self.body);
        PlatformError::refused(&self.call, self.status, &body)
    }
}
