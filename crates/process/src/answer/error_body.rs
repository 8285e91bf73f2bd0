use axum::Json;
use axum::http::{HeaderValue, header};
use axum::response::{IntoResponse, Response};
use lagoon_core::{Refusal, RefusalClass};
use serde::{Deserialize, Serialize};

use crate::answer::status;

/// JSON form of a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Number of the code.
    pub code: u16,
    /// Name of the code.
    pub name: String,
    /// What the refusal says about the work.
    pub class: RefusalClass,
    /// One sentence for the caller.
    pub message: String,
    /// Shortest useful wait before a retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl ErrorBody {
    /// Converts a refusal to its HTTP answer.
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
