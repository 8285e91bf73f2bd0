use std::fmt;

use lagoon_core::id::WorkId;

use crate::syntax::Filter;

/// The pieces of work that a command means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// Named ones; at least one.
    Works(Vec<WorkId>),
    /// Those that match, as fields of the table `work`.
    Where(Filter),
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Works(works) => {
                for (i, work) in works.iter().enumerate() {
                    let separator = if i == 0 { "" } else { " " };
                    write!(f, "{separator}{work}")?;
                }
                Ok(())
            }
            Self::Where(filter) => write!(f, "where {filter}"),
        }
    }
}
