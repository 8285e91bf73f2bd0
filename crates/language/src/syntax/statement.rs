use std::fmt;

use crate::syntax::{Command, Query};

/// A query or a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// A read-only statement.
    Query(Query),
    /// A statement that changes the state of the cluster.
    Command(Command),
}

impl fmt::Display for Statement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Query(query) => query.fmt(f),
            Self::Command(command) => command.fmt(f),
        }
    }
}
