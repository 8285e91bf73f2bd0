use std::fmt;

use lagoon_core::id::WorkId;

use crate::syntax::Filter;

/// Selects the pieces of work that a command applies to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkSelector {
    /// Work ids; at least one.
    Ids(Vec<WorkId>),
    /// Work that matches a filter on the table `work`.
    Filter(Filter),
}

impl fmt::Display for WorkSelector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ids(works) => {
                for (i, work) in works.iter().enumerate() {
                    let separator = if i == 0 { "" } else { " " };
                    write!(f, "{separator}{work}")?;
                }
                Ok(())
            }
            Self::Filter(filter) => write!(f, "where {filter}"),
        }
    }
}
