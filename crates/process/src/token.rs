use std::fmt;

use serde::Deserialize;
use subtle::ConstantTimeEq;

/// Secret of a caller or operator. It is compared in constant time and never printed.
#[derive(Clone, Deserialize)]
#[serde(transparent)]
pub struct Token(String);

impl Token {
    /// Wraps the secret.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the number of characters.
    pub fn char_count(&self) -> usize {
        self.0.chars().count()
    }

    /// Compares with what was sent; the time depends only on the lengths.
    pub fn matches(&self, sent: &[u8]) -> bool {
        self.0.as_bytes().ct_eq(sent).into()
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(hidden)")
    }
}
