//! State of a node as JSON on its metrics address, for `lagoonctl inspect`.
//!
//! Answers come from this process alone: after a failure, what matters is what it knew and how old that was.

mod cell_report;
mod router;

pub(crate) use self::router::router;
