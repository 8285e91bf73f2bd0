use std::fmt;

const MAX_NAME_CHARS: usize = 64;

/// Error for a string that is not a valid id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseIdError {
    kind: &'static str,
    text: String,
}

impl ParseIdError {
    /// Creates an error for `text` that is not a valid `kind`, such as `shard`. The text is truncated.
    pub fn new(kind: &'static str, text: &str) -> Self {
        let text = text.chars().take(MAX_NAME_CHARS + 1).collect();
        Self { kind, text }
    }
}

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not a valid {}", self.text, self.kind)
    }
}

impl std::error::Error for ParseIdError {}

/// Returns true if `text` has 1 to 64 characters, all of them ASCII letters, digits, `.`, `_` or `-`.
pub fn is_valid_name(text: &str) -> bool {
    let valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    !text.is_empty() && text.len() <= MAX_NAME_CHARS && text.chars().all(valid)
}
