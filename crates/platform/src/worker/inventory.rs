use lagoon_core::id::{Sequence, TaskId};
use serde::{Deserialize, Serialize};

use crate::worker::TaskReport;

/// Tasks of a worker: all of them, or the changes since a sequence number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Inventory {
    /// Whether `tasks` is complete and replaces earlier inventories.
    pub full: bool,
    /// Sequence number to send as `known_sequence` in the next request.
    pub sequence: Sequence,
    /// Tasks, in their latest state.
    pub tasks: Vec<TaskReport>,
    /// Tasks that the worker has removed since then; empty in a full inventory.
    #[serde(default)]
    pub forgotten: Vec<TaskId>,
}
