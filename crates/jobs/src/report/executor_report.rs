use lagoon_core::unit::{Millis, Resources};
use serde::Serialize;

use crate::id::ExecutorId;

/// State of one executor as known to the owner.
#[derive(Debug, Clone, Serialize)]
pub struct ExecutorReport {
    /// Id of the executor.
    pub executor: ExecutorId,
    /// Whether it accepts new runs: `ready`, `draining` or `unlisted`.
    pub availability: &'static str,
    /// Total capacity.
    pub capacity: Resources,
    /// Resources that are not reserved.
    pub free: Resources,
    /// Number of runs that exist or may exist on it.
    pub runs: u32,
    /// Remaining time for which it gets no new runs, because it did not answer, or runs failed or stalled on it.
    pub rests_for: Option<Millis>,
    /// Time since it last listed its runs; `None` if it never did.
    pub heard_ago: Option<Millis>,
    /// The last call was not answered, so no lease is granted.
    pub silent: bool,
}
