use crate::id::{TeamId, WorkId};
use crate::unit::{Bytes, Priority, Resources, Timestamp};
use crate::work::WorkKind;

/// A piece of work that waits for its start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueEntry {
    /// Id of the work.
    pub work: WorkId,
    /// Kind of work.
    pub kind: WorkKind,
    /// Team that is charged.
    pub team: TeamId,
    /// Urgency.
    pub priority: Priority,
    /// Time by which the work must have started.
    pub deadline: Option<Timestamp>,
    /// Resources of all members together.
    pub need: Resources,
    /// Size in the queue.
    pub bytes: Bytes,
    /// Time of acceptance.
    pub enqueued: Timestamp,
}

impl QueueEntry {
    /// Tells whether the deadline has passed at `now`.
    pub fn is_expired(&self, now: Timestamp) -> bool {
        self.deadline.is_some_and(|deadline| deadline < now)
    }
}
