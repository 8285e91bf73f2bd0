use std::fmt::Display;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, de};

/// Reads a value from its printed form, such as `5s` or `2GiB`; for `#[serde(deserialize_with = "..")]`.
///
/// # Errors
///
/// When the text doesn't parse; the message names the expected form.
pub fn text<'de, T, D>(deserializer: D) -> Result<T, D::Error>
where
    T: FromStr<Err: Display>,
    D: Deserializer<'de>,
{
    let text = String::deserialize(deserializer)?;
    text.parse().map_err(de::Error::custom)
}
