use axum::http::HeaderMap;
use lagoon_core::id::RequestKey;
use lagoon_core::{Refusal, ResultCode};

const KEY_HEADER: &str = "idempotency-key";

/// Returns the idempotency key of a request, or `None` without the header.
///
/// # Errors
///
/// `invalid_value` if the header is not a valid key.
pub(crate) fn read_key(headers: &HeaderMap) -> Result<Option<RequestKey>, Refusal> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let invalid = |e: String| {
        let message = format!("Idempotency-Key: {e}; expected 1 to 64 of a-z A-Z 0-9 . _ -");
        Refusal::new(ResultCode::InvalidValue, message)
    };
    let text = value.to_str().map_err(|e| invalid(e.to_string()))?;
    text.parse().map(Some).map_err(|e| invalid(format!("{e}")))
}

/// Returns the idempotency key of a request.
///
/// # Errors
///
/// `missing_key` without the header, and `invalid_value` if it is not a valid key.
pub(crate) fn require_key(headers: &HeaderMap) -> Result<RequestKey, Refusal> {
    let missing = || {
        let message = "expected an Idempotency-Key header, which every job submission requires";
        Refusal::new(ResultCode::MissingKey, message)
    };
    read_key(headers)?.ok_or_else(missing)
}
