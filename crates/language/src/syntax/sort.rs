use std::fmt;

use crate::syntax::SortKey;

/// Order of the rows of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sort {
    /// What is compared.
    pub key: SortKey,
    /// Largest first.
    pub descending: bool,
}

impl fmt::Display for Sort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let suffix = if self.descending { " desc" } else { "" };
        write!(f, "{}{suffix}", self.key)
    }
}
