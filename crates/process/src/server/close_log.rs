use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::Metrics;
use crate::server::close_reason::CloseReason;

/// Minimum time between two log lines with the same reason.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Counts closed connections by reason. The log volume doesn't depend on the number of clients.
#[derive(Debug, Default)]
pub(super) struct CloseLog {
    metrics: Metrics,
    reasons: [Mutex<UnloggedCloses>; CloseReason::COUNT],
}

/// Closed connections since the last log line.
#[derive(Debug, Default)]
struct UnloggedCloses {
    count: u64,
    logged_at: Option<Instant>,
}

impl CloseLog {
    pub(super) fn new(metrics: Metrics) -> Self {
        Self {
            metrics,
            ..Self::default()
        }
    }

    /// Counts a closed connection, and logs the number since the last line at most once in [`LOG_INTERVAL`].
    pub(super) fn record(&self, reason: CloseReason) {
        let metrics = &self.metrics;
        match reason {
            CloseReason::ConnectionLimit => metrics.count("connections.closed_for_new", 1),
            CloseReason::AllBusy => metrics.count("connections.refused", 1),
            CloseReason::RequestMemory => metrics.count("connections.closed_for_memory", 1),
            CloseReason::EmptyLines => metrics.count("connections.closed_empty_lines", 1),
            CloseReason::UnreadResponse => metrics.count("connections.closed_unread", 1),
        }
        if let Some(count) = self.count_to_log(reason) {
            tracing::warn!(count, "process: closed connections of clients: {reason}");
        }
    }

    fn count_to_log(&self, reason: CloseReason) -> Option<u64> {
        let unlogged = &self.reasons[reason as usize];
        let mut unlogged = unlogged.lock().unwrap_or_else(PoisonError::into_inner);
        unlogged.count += 1;
        let now = Instant::now();
        let is_due = unlogged
            .logged_at
            .is_none_or(|logged| now.duration_since(logged) >= LOG_INTERVAL);
        is_due.then(|| {
            unlogged.logged_at = Some(now);
            std::mem::take(&mut unlogged.count)
        })
    }
}
