use std::fmt;

use crate::syntax::Field;

/// What the rows of a query are sorted by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SortKey {
    /// A field of the table.
    Field(Field),
    /// The number of rows of each group of `count by`.
    Count,
}

impl SortKey {
    /// Keyword of the number of rows.
    pub const COUNT: &str = "count";
}

impl fmt::Display for SortKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Field(field) => field.fmt(f),
            Self::Count => f.write_str(Self::COUNT),
        }
    }
}
