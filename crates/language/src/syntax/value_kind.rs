use lagoon_core::unit::{Bytes, Millicores, Millis};

use crate::syntax::Value;

/// Type of a field's values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ValueKind {
    /// A name or sentence.
    Text,
    /// A whole number.
    Number,
    /// A duration with a unit.
    Age,
    /// A size with a unit.
    Size,
    /// Processors: cores or millicores.
    Cores,
}

impl ValueKind {
    /// Returns the expected form of a value.
    pub const fn form(self) -> &'static str {
        match self {
            Self::Text => "a word or a text in quotes",
            Self::Number => "a number",
            Self::Age => "a duration such as 300ms, 5s, 2m or 1h",
            Self::Size => "a size such as 512MiB, 2GB or 100B",
            Self::Cores => "cores such as 1.5 or millicores such as 1500m",
        }
    }

    /// Reads a value without quotes; `None` if it does not have the expected form.
    pub(crate) fn read(self, text: &str) -> Option<Value> {
        match self {
            Self::Text => Some(Value::Text(text.to_owned())),
            Self::Number => text.parse().ok().map(Value::Number),
            Self::Age => text.parse::<Millis>().ok().map(Value::Age),
            Self::Size => text.parse::<Bytes>().ok().map(Value::Size),
            Self::Cores => text.parse::<Millicores>().ok().map(Value::Cores),
        }
    }
}
