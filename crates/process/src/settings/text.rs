use std::fmt::Display;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, de};

/// Deserializes a value from its text form, such as `5s` or `2GiB`; for `#[serde(deserialize_with = "..")]`.
///
/// # Errors
///
/// Returns an error that names the expected format if the text doesn't parse.
pub fn text<'de, T, D>(deserializer: D) -> Result<T, D::Error>
where
    T: FromStr<Err: Display>,
    D: Deserializer<'de>,
{
    let text = String::deserialize(deserializer)?;
    text.parse().map_err(de::Error::custom)
}
