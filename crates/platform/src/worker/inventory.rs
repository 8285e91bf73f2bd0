use lagoon_core::id::{Sequence, TaskId};
use serde::{Deserialize, Serialize};

use crate::worker::TaskReport;

/// Tasks that a worker knows: all of them, or what changed since a sequence number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Inventory {
    /// Whether `tasks` holds every task and replaces what the holder knew.
    pub full: bool,
    /// Sequence number to send as `known_sequence` next time.
    pub sequence: Sequence,
    /// The tasks, in their latest state.
    pub tasks: Vec<TaskReport>,
    /// Tasks that the worker has forgotten since; empty in a full list.
    #[serde(default)]
    pub forgotten: Vec<TaskId>,
}
