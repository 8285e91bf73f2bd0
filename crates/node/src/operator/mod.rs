//! What a node believes, as JSON on its metrics address, for `lagoonctl inspect`.
//!
//! Nothing is asked of other nodes: after a failure the question is what this process knew, and how old that was.

mod cell_report;
mod router;

pub(crate) use self::router::router;
