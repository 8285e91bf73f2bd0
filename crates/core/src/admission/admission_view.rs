use crate::admission::{Feasibility, QueueLoad};
use crate::unit::{Rate, Resources, Timestamp};

/// State that admission decides by.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionView {
    /// Time of the decision.
    pub now: Timestamp,
    /// Load of the queue for each kind.
    pub queue: QueueLoad,
    /// Items of the team that wait, over all kinds.
    pub team_queued: u64,
    /// What the team runs now.
    pub team_usage: Resources,
    /// Requests of the named service that wait; zero for other work.
    pub service_queued: u64,
    /// Whether the fleet could ever hold the work.
    pub feasibility: Feasibility,
    /// Items that start before this one.
    pub entries_ahead: u64,
    /// Measured rate of starts for this kind; none until enough were measured.
    pub start_rate: Option<Rate>,
}
