use std::fmt;

use crate::syntax::Field;

/// Sort key of a query's rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SortKey {
    /// A field of the table.
    Field(Field),
    /// The number of rows in each group of `count by`.
    Count,
}

impl SortKey {
    /// Keyword and column name of the row count.
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
