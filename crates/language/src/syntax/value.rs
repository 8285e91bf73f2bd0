use std::cmp::Ordering;
use std::fmt;

use lagoon_core::unit::{Bytes, Millicores, Millis};

/// A value in a filter or row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Value {
    /// A string.
    Text(String),
    /// An integer.
    Number(u64),
    /// A duration.
    Duration(Millis),
    /// A size.
    Size(Bytes),
    /// CPU resources.
    Cores(Millicores),
}

impl Value {
    /// Compares two values. Returns `None` if their kinds differ.
    pub fn compare(&self, other: &Self) -> Option<Ordering> {
        match (self, other) {
            (Self::Text(a), Self::Text(b)) => Some(a.cmp(b)),
            (Self::Number(a), Self::Number(b)) => Some(a.cmp(b)),
            (Self::Duration(a), Self::Duration(b)) => Some(a.cmp(b)),
            (Self::Size(a), Self::Size(b)) => Some(a.cmp(b)),
            (Self::Cores(a), Self::Cores(b)) => Some(a.cmp(b)),
            _ => None,
        }
    }

    /// Returns the value as displayed in a row: text is not quoted or escaped.
    pub fn to_unquoted(&self) -> String {
        match self {
            Self::Text(text) => text.clone(),
            other => other.to_string(),
        }
    }
}

/// Returns true if `c` may occur in an unquoted word.
pub(crate) fn is_word_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || "._:+-/%@".contains(c)
}

/// Displays the value in the syntax of the language: text that is not a single word is quoted.
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
            Self::Duration(age) => age.fmt(f),
            Self::Size(size) => size.fmt(f),
            Self::Cores(cores) => cores.fmt(f),
        }
    }
}
