use std::sync::Arc;

use lagoon_platform::executor::RunRequest;

use crate::executors::executor::Executor;
use crate::util::lock;

/// Length of the payload prefix by which runs are counted, in characters.
const PAYLOAD_PREFIX_CHARS: usize = 80;

/// A slot in use. Dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct Slot(Arc<Executor>);

impl Slot {
    /// Acquires a slot for a request and counts the run. Returns `None` if all slots are in use.
    pub(crate) fn try_acquire(executor: Arc<Executor>, req: &RunRequest) -> Option<Self> {
        let mut state = lock(&executor.state);
        if state.in_use >= executor.slots {
            return None;
        }
        state.in_use += 1;
        *state.runs.entry(req.request.clone()).or_default() += 1;
        let payload = req.payload.chars().take(PAYLOAD_PREFIX_CHARS).collect();
        *state.payloads.entry(payload).or_default() += 1;
        drop(state);
        Some(Self(executor))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        lock(&self.0.state).in_use -= 1;
    }
}
