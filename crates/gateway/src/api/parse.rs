use lagoon_core::{Refusal, ResultCode};
use serde::de::DeserializeOwned;
use serde_json::error::Category;

/// Parses a JSON body.
///
/// # Errors
///
/// `malformed` if the body is not valid JSON or lacks a field, otherwise `unknown_field` or `invalid_value`.
pub(crate) fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|e| {
        let message = e.to_string();
        let code = match e.classify() {
            Category::Data => code_for_data_error(&message),
            Category::Syntax | Category::Eof | Category::Io => ResultCode::Malformed,
        };
        Refusal::new(code, message)
    })
}

/// Returns the code for a data error of serde, which has no kind besides its message.
pub(crate) fn code_for_data_error(message: &str) -> ResultCode {
    if message.contains("unknown field") {
        ResultCode::UnknownField
    } else if message.contains("missing field") || message.contains("duplicate field") {
        ResultCode::Malformed
    } else {
        ResultCode::InvalidValue
    }
}

/// Returns `invalid_value` with `message` unless `condition` holds.
pub(crate) fn ensure(condition: bool, message: &str) -> Result<(), Refusal> {
    if condition {
        return Ok(());
    }
    Err(Refusal::new(ResultCode::InvalidValue, message))
}
