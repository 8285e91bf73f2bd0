use lagoon_core::unit::{Bytes, Millicores, Millis};

use crate::syntax::Value;

/// Kind of a field's values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ValueKind {
    /// A string.
    Text,
    /// An integer.
    Number,
    /// A duration with a unit.
    Duration,
    /// A size with a unit.
    Size,
    /// CPU resources, in cores or millicores.
    Cores,
}

impl ValueKind {
    /// Returns a description of the expected value, for errors and hints.
    pub const fn description(self) -> &'static str {
        match self {
            Self::Text => "a word or a quoted string",
            Self::Number => "a number",
            Self::Duration => "a duration such as 300ms, 5s, 2m or 1h",
            Self::Size => "a size such as 512MiB, 2GB or 100B",
            Self::Cores => "cores such as 1.5 or millicores such as 1500m",
        }
    }

    /// Parses an unquoted value. Returns `None` if `text` is not valid for this kind.
    pub(crate) fn parse(self, text: &str) -> Option<Value> {
        match self {
            Self::Text => Some(Value::Text(text.to_owned())),
            Self::Number => text.parse().ok().map(Value::Number),
            Self::Duration => text.parse::<Millis>().ok().map(Value::Duration),
            Self::Size => text.parse::<Bytes>().ok().map(Value::Size),
            Self::Cores => text.parse::<Millicores>().ok().map(Value::Cores),
        }
    }
}
