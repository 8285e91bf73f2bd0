use bytes::Bytes;
use serde::de::DeserializeOwned;

use crate::error::{ErrorKind, PlatformError};

/// Status and whole body of an answer.
#[derive(Debug)]
pub struct Response {
    /// The call, as it appears in errors.
    pub call: String,
    /// Status of the answer.
    pub status: u16,
    /// Whole body.
    pub body: Bytes,
}

impl Response {
    /// Parses the body.
    ///
    /// # Errors
    ///
    /// A body that is not what `T` expects.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, PlatformError> {
        serde_json::from_slice(&self.body)
            .map_err(|e| PlatformError::new(&self.call, ErrorKind::InvalidResponse(e.to_string())))
    }

    /// Parses the body of an answer with status 200; any other status is a refusal.
    ///
    /// # Errors
    ///
    /// The refusal, or a body that is not what `T` expects.
    pub fn success<T: DeserializeOwned>(&self) -> Result<T, PlatformError> {
        match self.status {
            200 => self.json(),
            _ => Err(self.refusal()),
        }
    }

    /// Returns the body as text.
    ///
    /// # Errors
    ///
    /// A body that is not UTF-8.
    pub fn text(self) -> Result<String, PlatformError> {
        String::from_utf8(self.body.into())
            .map_err(|e| PlatformError::new(&self.call, ErrorKind::InvalidResponse(e.to_string())))
    }

    /// Reports the answer as a refusal.
    pub fn refusal(&self) -> PlatformError {
        let body = String::from_utf8_lossy(&self.body);
        PlatformError::refused(&self.call, self.status, &body)
    }
}
