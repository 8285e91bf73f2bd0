use std::sync::Arc;

use lagoon_core::unit::{Millis, Timestamp};
use lagoon_core::work::WorkSpec;

/// A piece of work and what became of it.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) spec: Arc<WorkSpec>,
    pub(crate) flood: bool,
    pub(crate) submitted: Timestamp,
    pub(crate) started: Option<Timestamp>,
    pub(crate) ended: bool,
    /// When it was refused because its start deadline had passed.
    pub(crate) expired: Option<Timestamp>,
    /// How long each task really runs.
    pub(crate) run: Millis,
    /// Used part of the declared size in hundredths; above 100 if the declared size is too small.
    pub(crate) used_percent: u64,
}
