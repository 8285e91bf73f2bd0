use std::fmt;

/// Error for a string that is not a valid amount of a unit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseUnitError {
    text: String,
    expected: &'static str,
}

impl ParseUnitError {
    pub(crate) fn new(text: &str, expected: &'static str) -> Self {
        Self {
            text: text.chars().take(80).collect(),
            expected,
        }
    }
}

impl fmt::Display for ParseUnitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is not valid: expected {}",
            self.text, self.expected
        )
    }
}

impl std::error::Error for ParseUnitError {}
