use std::collections::HashMap;

use crate::id::{TaskId, WorkerId};

/// Start calls that may still arrive at a worker.
///
/// A worker starts any task that it does not know. So while a start call may still arrive, the worker must not be told
/// to forget the task, even if the task has ended or was stopped before it started. A start call can no longer take
/// effect once it is answered, or once the worker's lease has another epoch, because the worker then refuses it.
#[derive(Debug, Default)]
pub(super) struct PendingStarts(HashMap<(WorkerId, TaskId), PendingStart>);

#[derive(Debug, Default)]
struct PendingStart {
    /// Calls without a response so far.
    pending: u32,
    /// True if the response to a call was lost.
    lost: bool,
    /// True if the task is to be acknowledged once no call can arrive any more.
    acknowledge: bool,
}

impl PendingStarts {
    /// Records that a call was sent.
    pub(super) fn record_sent(&mut self, worker: &WorkerId, task: &TaskId) {
        let key = (worker.clone(), task.clone());
        self.0.entry(key).or_default().pending += 1;
    }

    /// Records the result of a call. Returns true if a deferred acknowledgement is due now.
    pub(super) fn record_result(&mut self, worker: &WorkerId, task: &TaskId, lost: bool) -> bool {
        let key = (worker.clone(), task.clone());
        let Some(calls) = self.0.get_mut(&key) else {
            return false;
        };
        calls.pending = calls.pending.saturating_sub(1);
        calls.lost |= lost;
        if calls.pending > 0 || calls.lost {
            return false;
        }
        self.0.remove(&key).is_some_and(|calls| calls.acknowledge)
    }

    /// Defers the acknowledgement if a call may still arrive. Returns true if it was deferred.
    pub(super) fn defer_acknowledgement(&mut self, worker: &WorkerId, task: &TaskId) -> bool {
        let calls = self.0.get_mut(&(worker.clone(), task.clone()));
        calls.map(|calls| calls.acknowledge = true).is_some()
    }

    /// Handles a new lease epoch of a worker. Returns the tasks whose acknowledgements are due now.
    pub(super) fn on_new_lease_epoch(&mut self, worker: &WorkerId) -> Vec<TaskId> {
        let mut tasks = Vec::new();
        self.0.retain(|(start_worker, task), calls| {
            if start_worker != worker {
                return true;
            }
            calls.lost = false;
            let over = calls.pending == 0;
            if over && calls.acknowledge {
                tasks.push(task.clone());
            }
            !over
        });
        tasks
    }
}
