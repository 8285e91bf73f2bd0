use std::fmt;

use crate::syntax::SortKey;

/// Sort order of a query's rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sort {
    /// Sort key.
    pub key: SortKey,
    /// Sorts in descending order.
    pub descending: bool,
}

impl fmt::Display for Sort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let suffix = if self.descending { " desc" } else { "" };
        write!(f, "{}{suffix}", self.key)
    }
}
