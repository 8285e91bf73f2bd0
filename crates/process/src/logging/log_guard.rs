use tracing_appender::non_blocking::{ErrorCounter, WorkerGuard};

/// Keeps the log's thread running; writes what waits when it is dropped.
#[derive(Debug)]
pub struct LogGuard {
    _worker: WorkerGuard,
    dropped: ErrorCounter,
}

impl LogGuard {
    pub(super) fn new(worker: WorkerGuard, dropped: ErrorCounter) -> Self {
        Self {
            _worker: worker,
            dropped,
        }
    }

    /// Returns how many lines found the buffer full.
    pub fn dropped_lines(&self) -> u64 {
        self.dropped.dropped_lines() as u64
    }
}
