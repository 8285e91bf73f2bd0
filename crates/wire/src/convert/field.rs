use std::fmt::Display;
use std::str::FromStr;

use lagoon_core::{Refusal, ResultCode};

/// Parses a required field.
///
/// # Errors
///
/// Returns `invalid_value`, with the name of the field, if the text doesn't parse.
pub fn parse_field<T>(name: &str, text: &str) -> Result<T, Refusal>
where
    T: FromStr<Err: Display>,
{
    let invalid = |e: T::Err| Refusal::new(ResultCode::InvalidValue, format!("{name}: {e}"));
    text.parse().map_err(invalid)
}

/// Parses an optional field. Returns `None` if the text is empty.
///
/// # Errors
///
/// Returns `invalid_value`, with the name of the field, if the text doesn't parse.
pub fn optional_field<T>(name: &str, text: &str) -> Result<Option<T>, Refusal>
where
    T: FromStr<Err: Display>,
{
    if text.is_empty() {
        return Ok(None);
    }
    parse_field(name, text).map(Some)
}

/// Parses each element of a repeated field.
///
/// # Errors
///
/// Returns `invalid_value`, with the name of the field, if the text doesn't parse.
pub fn parse_list<T, C>(name: &str, texts: &[String]) -> Result<C, Refusal>
where
    T: FromStr<Err: Display>,
    C: FromIterator<T>,
{
    texts.iter().map(|text| parse_field(name, text)).collect()
}
