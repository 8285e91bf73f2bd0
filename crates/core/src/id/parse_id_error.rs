use std::fmt;

const MAX_NAME_CHARS: usize = 64;

/// Text that is not a valid id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseIdError {
    what: &'static str,
    text: String,
}

impl ParseIdError {
    /// Says that `text` is not a valid `what`.
    pub fn new(what: &'static str, text: &str) -> Self {
        let text = text.chars().take(MAX_NAME_CHARS + 1).collect();
        Self { what, text }
    }
}

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not a valid {}", self.text, self.what)
    }
}

impl std::error::Error for ParseIdError {}

/// Checks the character set and length that all names share.
pub fn is_valid_name(text: &str) -> bool {
    let valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    !text.is_empty() && text.len() <= MAX_NAME_CHARS && text.chars().all(valid)
}
