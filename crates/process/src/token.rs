use std::fmt;

use serde::Deserialize;
use subtle::ConstantTimeEq;

/// Secret of a caller or operator, compared in constant time and redacted in `Debug` output.
#[derive(Clone, Deserialize)]
#[serde(transparent)]
pub struct Token(String);

impl Token {
    /// Creates a token from its secret.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the number of characters of the secret.
    pub fn char_count(&self) -> usize {
        self.0.chars().count()
    }

    /// Returns true if `sent` equals the secret. The time taken depends only on the lengths.
    pub fn matches(&self, sent: &[u8]) -> bool {
        self.0.as_bytes().ct_eq(sent).into()
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(hidden)")
    }
}
