use crate::id::{Attempt, Incarnation, TaskId, TaskIndex, WorkerId};
use crate::shard::place_state::PlaceState;

/// Where one member of a piece of work is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Place {
    pub(super) member: TaskIndex,
    pub(super) worker: WorkerId,
    pub(super) attempt: Option<Attempt>,
    /// Run of the worker in which the task was started or found.
    pub(super) run: Option<Incarnation>,
    pub(super) state: PlaceState,
    pub(super) output: Option<String>,
    /// True once the worker was asked to stop the task.
    pub(super) stopping: bool,
}

impl Place {
    pub(super) fn starting(
        member: TaskIndex,
        worker: WorkerId,
        attempt: Attempt,
        run: Option<Incarnation>,
    ) -> Self {
        Self {
            member,
            worker,
            attempt: Some(attempt),
            run,
            state: PlaceState::Starting,
            output: None,
            stopping: false,
        }
    }

    pub(super) fn found(task: &TaskId, worker: WorkerId, run: Option<Incarnation>) -> Self {
        Self {
            member: task.index(),
            worker,
            attempt: task.attempt(),
            run,
            state: PlaceState::Starting,
            output: None,
            stopping: false,
        }
    }

    pub(super) fn is_finished(&self) -> bool {
        matches!(self.state, PlaceState::Finished { .. })
    }

    /// Tells whether this is the place of `task` on `worker`.
    pub(super) fn is(&self, task: &TaskId, worker: &WorkerId) -> bool {
        self.member == task.index() && self.attempt == task.attempt() && self.worker == *worker
    }

    /// Returns the id of the task in this place.
    pub(super) fn task(&self, work: &crate::id::WorkId) -> TaskId {
        let task = TaskId::new(work.clone(), self.member);
        match self.attempt {
            Some(attempt) => task.with_attempt(attempt),
            None => task,
        }
    }
}
