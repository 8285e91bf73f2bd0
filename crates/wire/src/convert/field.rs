use std::fmt::Display;
use std::str::FromStr;

use lagoon_core::{Refusal, ResultCode};

/// Parses a field that must be present.
///
/// # Errors
///
/// `invalid_value`, naming the field.
pub fn parse_field<T>(name: &str, text: &str) -> Result<T, Refusal>
where
    T: FromStr<Err: Display>,
{
    let invalid = |e: T::Err| Refusal::new(ResultCode::InvalidValue, format!("{name}: {e}"));
    text.parse().map_err(invalid)
}

/// Parses a field in which empty text means that it is absent.
///
/// # Errors
///
/// `invalid_value`, naming the field.
pub fn optional_field<T>(name: &str, text: &str) -> Result<Option<T>, Refusal>
where
    T: FromStr<Err: Display>,
{
    if text.is_empty() {
        return Ok(None);
    }
    parse_field(name, text).map(Some)
}

/// Parses each element of a list.
///
/// # Errors
///
/// `invalid_value`, naming the field.
pub fn parse_list<T, C>(name: &str, texts: &[String]) -> Result<C, Refusal>
where
    T: FromStr<Err: Display>,
    C: FromIterator<T>,
{
    texts.iter().map(|text| parse_field(name, text)).collect()
}
