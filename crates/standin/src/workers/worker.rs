use std::sync::Mutex;

use lagoon_core::id::WorkerId;

use crate::workers::worker_state::WorkerState;

/// A fake worker, with its state under its own lock.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) id: WorkerId,
    pub(crate) state: Mutex<WorkerState>,
}
