use axum::http::HeaderMap;
use lagoon_core::id::RequestKey;
use lagoon_core::{Refusal, ResultCode};

const KEY_HEADER: &str = "idempotency-key";

/// Reads the idempotency key of a request.
///
/// # Errors
///
/// `invalid_value` when the header is there but is no key.
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

/// Reads an idempotency key that must be there.
///
/// # Errors
///
/// `missing_key` or `invalid_value`.
pub(crate) fn require_key(headers: &HeaderMap) -> Result<RequestKey, Refusal> {
    let missing = || {
        let message = "a job needs an Idempotency-Key header";
        Refusal::new(ResultCode::MissingKey, message)
    };
    read_key(headers)?.ok_or_else(missing)
}
