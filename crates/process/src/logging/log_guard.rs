use tracing_appender::non_blocking::{ErrorCounter, WorkerGuard};

/// Keeps the log writer thread running; flushes the buffered lines on drop.
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

    /// Returns the number of lines dropped because the buffer was full.
    pub fn dropped_lines(&self) -> u64 {
        self.dropped.dropped_lines() as u64
    }
}
