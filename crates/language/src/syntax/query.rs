use std::fmt;

use lagoon_core::id::WorkId;

use crate::syntax::Show;

/// A read-only statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Query {
    /// Lists rows of a table.
    Show(Show),
    /// Explains the state of a piece of work.
    Why(WorkId),
}

impl fmt::Display for Query {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Show(show) => show.fmt(f),
            Self::Why(work) => write!(f, "why {work}"),
        }
    }
}
