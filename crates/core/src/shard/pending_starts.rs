use std::collections::HashMap;

use crate::id::{TaskId, WorkerId};

/// Calls that start tasks and may still arrive at a worker.
///
/// A worker starts a task that it does not know. So it must not forget a task, whether it ended or was stopped before
/// its start, while a call that starts it may arrive. Such a call is certainly over once it is answered, or once the
/// worker's lease has another epoch, because the worker then refuses it.
#[derive(Debug, Default)]
pub(super) struct PendingStarts(HashMap<(WorkerId, TaskId), PendingStart>);

#[derive(Debug, Default)]
struct PendingStart {
    /// Calls without an answer so far.
    pending: u32,
    /// True if the answer to a call was lost.
    lost: bool,
    /// True if the worker may forget the task once no call can arrive.
    acknowledge: bool,
}

impl PendingStarts {
    /// Notes a call.
    pub(super) fn record_sent(&mut self, worker: &WorkerId, task: &TaskId) {
        let key = (worker.clone(), task.clone());
        self.0.entry(key).or_default().pending += 1;
    }

    /// Notes the end of a call. Returns true if the worker may forget the task now and was to do so.
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

    /// Tells whether a call may still arrive. If so, the acknowledgement is due later.
    pub(super) fn defer_acknowledgement(&mut self, worker: &WorkerId, task: &TaskId) -> bool {
        let calls = self.0.get_mut(&(worker.clone(), task.clone()));
        calls.map(|calls| calls.acknowledge = true).is_some()
    }

    /// Notes that the lease of a worker has another epoch; returns the tasks that it may forget now.
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
