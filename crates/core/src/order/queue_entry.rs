use crate::id::{TeamId, WorkId};
use crate::unit::{Bytes, Priority, Resources, Timestamp};
use crate::work::WorkKind;

/// A piece of work that waits to be started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueEntry {
    /// Id of the work.
    pub work: WorkId,
    /// Kind of work.
    pub kind: WorkKind,
    /// Team whose share and quota are charged.
    pub team: TeamId,
    /// Priority.
    pub priority: Priority,
    /// Time by which the work must have started.
    pub deadline: Option<Timestamp>,
    /// Resources of all tasks together.
    pub need: Resources,
    /// Memory that it takes in the queue.
    pub bytes: Bytes,
    /// Time of acceptance.
    pub enqueued: Timestamp,
}

impl QueueEntry {
    /// Returns true if the deadline has passed at `now`.
    pub fn is_expired(&self, now: Timestamp) -> bool {
        self.deadline.is_some_and(|deadline| deadline < now)
    }
}
