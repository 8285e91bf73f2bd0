use std::fmt;

use crate::syntax::{Field, Filter, Sort, Table};

/// A query for the rows of a table. Rows are filtered, counted by a field, sorted and limited, in this order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Show {
    /// The table.
    pub table: Table,
    /// Condition that rows must match; `None` selects all rows.
    pub filter: Option<Filter>,
    /// Field to group by; each group becomes one row with its count.
    pub count_by: Option<Field>,
    /// Sort order.
    pub sort: Option<Sort>,
    /// Maximum number of rows.
    pub limit: Option<u32>,
}

impl fmt::Display for Show {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "show {}", self.table)?;
        if let Some(filter) = &self.filter {
            write!(f, " where {filter}")?;
        }
        if let Some(field) = &self.count_by {
            write!(f, " count by {field}")?;
        }
        if let Some(sort) = &self.sort {
            write!(f, " sort by {sort}")?;
        }
        if let Some(limit) = self.limit {
            write!(f, " limit {limit}")?;
        }
        Ok(())
    }
}
