use crate::id::{Attempt, Incarnation, TaskId, TaskIndex, WorkerId};
use crate::shard::placement_state::PlacementState;

/// The worker and the state of one task of a piece of work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct TaskPlacement {
    pub(super) index: TaskIndex,
    pub(super) worker: WorkerId,
    pub(super) attempt: Option<Attempt>,
    /// Incarnation of the worker in which the task was started or found.
    pub(super) incarnation: Option<Incarnation>,
    pub(super) state: PlacementState,
    pub(super) output: Option<String>,
    /// True once the worker was asked to stop the task.
    pub(super) stopping: bool,
}

impl TaskPlacement {
    pub(super) fn starting(
        index: TaskIndex,
        worker: WorkerId,
        attempt: Attempt,
        incarnation: Option<Incarnation>,
    ) -> Self {
        Self {
            index,
            worker,
            attempt: Some(attempt),
            incarnation,
            state: PlacementState::Starting,
            output: None,
            stopping: false,
        }
    }

    pub(super) fn found(task: &TaskId, worker: WorkerId, incarnation: Option<Incarnation>) -> Self {
        Self {
            index: task.index(),
            worker,
            attempt: task.attempt(),
            incarnation,
            state: PlacementState::Starting,
            output: None,
            stopping: false,
        }
    }

    pub(super) fn is_finished(&self) -> bool {
        matches!(self.state, PlacementState::Finished { .. })
    }

    /// Returns true if this is the placement of `task` on `worker`.
    pub(super) fn is(&self, task: &TaskId, worker: &WorkerId) -> bool {
        self.index == task.index() && self.attempt == task.attempt() && self.worker == *worker
    }

    /// Returns the id of the task.
    pub(super) fn task(&self, work: &crate::id::WorkId) -> TaskId {
        let task = TaskId::new(work.clone(), self.index);
        match self.attempt {
            Some(attempt) => task.with_attempt(attempt),
            None => task,
        }
    }
}
