use std::cmp::Ordering;
use std::fmt;

use lagoon_core::unit::{Bytes, Millicores, Millis};

/// A value in a filter or in a row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Value {
    /// A name or sentence.
    Text(String),
    /// A whole number.
    Number(u64),
    /// A duration.
    Age(Millis),
    /// A size.
    Size(Bytes),
    /// Processors.
    Cores(Millicores),
}

impl Value {
    /// Compares values of one kind; `None` for values of unlike kinds.
    pub fn compare(&self, other: &Self) -> Option<Ordering> {
        match (self, other) {
            (Self::Text(a), Self::Text(b)) => Some(a.cmp(b)),
            (Self::Number(a), Self::Number(b)) => Some(a.cmp(b)),
            (Self::Age(a), Self::Age(b)) => Some(a.cmp(b)),
            (Self::Size(a), Self::Size(b)) => Some(a.cmp(b)),
            (Self::Cores(a), Self::Cores(b)) => Some(a.cmp(b)),
            _ => None,
        }
    }

    /// Returns the value as it is shown in a row: a text without quotes.
    pub fn shown(&self) -> String {
        match self {
            Self::Text(text) => text.clone(),
            other => other.to_string(),
        }
    }
}

/// Tells whether a character may stand in a word without quotes.
pub(crate) fn is_word_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || "._:+-/%@".contains(c)
}

/// Prints the value as the language reads it: a text that is not one word stands in quotes.
impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text(text) if !text.is_empty() && text.chars().all(is_word_char) => {
                f.write_str(text)
            }
            Self::Text(text) => {
                let escaped = text.replace('\\', "\\\\").replace('"', "\\\"");
                write!(f, "\"{escaped}\"")
            }
            Self::Number(number) => number.fmt(f),
            Self::Age(age) => age.fmt(f),
            Self::Size(size) => size.fmt(f),
            Self::Cores(cores) => cores.fmt(f),
        }
    }
}
