use std::fmt;

use crate::syntax::{Field, Filter, Sort, Table};

/// Rows of a table: filtered, then counted by a field, then sorted, then limited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Show {
    /// The table.
    pub table: Table,
    /// Rows to keep; all without one.
    pub filter: Option<Filter>,
    /// Field whose values are counted instead of listing rows.
    pub count_by: Option<Field>,
    /// Order of the rows.
    pub sort: Option<Sort>,
    /// Largest number of rows.
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
