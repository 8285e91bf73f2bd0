use bytes::Bytes;
use serde::de::DeserializeOwned;

use crate::error::{ErrorKind, PlatformError};

/// Response with its complete body.
#[derive(Debug)]
pub struct Response {
    /// Method and URI of the call, for errors.
    pub call: String,
    /// HTTP status.
    pub status: u16,
    /// Complete body.
    pub body: Bytes,
}

impl Response {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// If the body is not a valid `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, PlatformError> {
        serde_json::from_slice(&self.body)
            .map_err(|e| PlatformError::new(&self.call, ErrorKind::InvalidResponse(e.to_string())))
    }

    /// Parses the body of a response with status 200 as JSON.
    ///
    /// # Errors
    ///
    /// If the status is not 200, or the body is not a valid `T`.
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
    /// If the body is not valid UTF-8.
    pub fn text(self) -> Result<String, PlatformError> {
        String::from_utf8(self.body.into())
            .map_err(|e| PlatformError::new(&self.call, ErrorKind::InvalidResponse(e.to_string())))
    }

    /// Returns the error for the response's status.
    pub fn refusal(&self) -> PlatformError {
        let body = String::from_utf8_lossy(&self.body);
        PlatformError::refused(&self.call, self.status, &body)
    }
}
