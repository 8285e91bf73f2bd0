use crate::admission::{Feasibility, QueueLoad};
use crate::unit::{Rate, Resources, Timestamp};

/// State of the queue and the fleet that admission decides by.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionView {
    /// Time of the decision.
    pub now: Timestamp,
    /// Load of the queue for each kind.
    pub queue: QueueLoad,
    /// Waiting items of the team, over all kinds.
    pub team_queued: u64,
    /// Resources that the team's running work uses.
    pub team_usage: Resources,
    /// Waiting requests of the named service; zero for other work.
    pub service_queued: u64,
    /// Whether the fleet could ever hold the work.
    pub feasibility: Feasibility,
    /// Estimated number of items that start before this one.
    pub entries_ahead: u64,
    /// Measured rate of starts of this kind; `None` until there are enough measurements.
    pub start_rate: Option<Rate>,
}
