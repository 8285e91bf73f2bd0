use lagoon_core::unit::{Millis, Resources};
use serde::Serialize;

use crate::id::ExecutorId;

/// One executor as its owner knows it.
#[derive(Debug, Clone, Serialize)]
pub struct ExecutorReport {
    /// Its id.
    pub executor: ExecutorId,
    /// Whether it takes part: ready, draining or unlisted.
    pub availability: &'static str,
    /// What it can hold in all.
    pub capacity: Resources,
    /// What is not reserved.
    pub free: Resources,
    /// Runs that exist or may exist there.
    pub runs: u32,
    /// Time for which it gets no new runs, because runs failed or stalled there or it did not answer.
    pub rests_for: Option<Millis>,
    /// Time since it last listed its runs; none if it never did.
    pub heard_ago: Option<Millis>,
    /// The last call was not answered, so no lease is granted.
    pub silent: bool,
}
