use std::sync::Arc;

use crate::executors::executor::Executor;
use crate::util::lock;

/// A slot in use; dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct Slot(Arc<Executor>);

impl Slot {
    /// Takes a slot for `request` and counts the run; `None` if all are in use.
    pub(crate) fn take(executor: Arc<Executor>, request: &str) -> Option<Self> {
        let mut state = lock(&executor.state);
        if state.in_use >= executor.slots {
            return None;
        }
        state.in_use += 1;
        *state.runs.entry(request.to_owned()).or_default() += 1;
        drop(state);
        Some(Self(executor))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        lock(&self.0.state).in_use -= 1;
    }
}
