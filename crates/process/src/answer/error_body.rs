use axum::Json;
use axum::http::{HeaderValue, header};
use axum::response::{IntoResponse, Response};
use lagoon_core::{Refusal, RefusalClass};
use serde::{Deserialize, Serialize};

use crate::answer::status;

/// JSON body of a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Numeric result code.
    pub code: u16,
    /// Name of the result code.
    pub name: String,
    /// Whether the work did not run, may have run, or belongs to another process.
    pub class: RefusalClass,
    /// Description of the error for the caller.
    pub message: String,
    /// Minimum wait before a retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl ErrorBody {
    /// Returns the HTTP response for a refusal, with a `Retry-After` header if the refusal has a wait.
    pub fn response(refusal: &Refusal) -> Response {
        let status = status(refusal.code);
        let body = Self::from(refusal);
        let retry_after = body.retry_after_ms.map(|ms| ms.div_ceil(1_000));
        let mut response = (status, Json(body)).into_response();
        if let Some(seconds) = retry_after {
            let headers = response.headers_mut();
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

impl From<&Refusal> for ErrorBody {
    fn from(refusal: &Refusal) -> Self {
        Self {
            code: refusal.code.number(),
            name: refusal.code.name().to_owned(),
            class: refusal.class(),
            message: refusal.message.clone(),
            retry_after_ms: refusal.retry_after.map(|wait| wait.get()),
        }
    }
}
