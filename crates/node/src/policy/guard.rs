use std::sync::{Mutex, MutexGuard, PoisonError};

use lagoon_core::unit::{Millis, Timestamp};
use lagoon_process::{Clock, PauseDetector};

/// Time after a pause within which callers' requests are not handled by the configuration known before it. Requests
/// that arrived during the pause have ended by then.
const CONFIRM_WINDOW: Millis = Millis::new(2_500);

/// Tells whether a pause of the process may have hidden a newer configuration.
#[derive(Debug)]
pub(crate) struct PolicyGuard {
    clock: Clock,
    pauses: Mutex<PauseDetector>,
    /// Held while the configuration is read after a pause, so that one read serves all waiting requests.
    pub(super) reading: tokio::sync::Mutex<()>,
}

impl PolicyGuard {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            pauses: Mutex::new(PauseDetector::new(clock.now())),
            reading: tokio::sync::Mutex::default(),
        }
    }

    /// Returns true if the configuration has to be read before a request is handled.
    pub(super) fn must_read(&self) -> bool {
        let (pauses, now) = self.observe();
        pauses.is_outdated(CONFIRM_WINDOW, now)
    }

    /// Records that the configuration was read by a call sent at `sent_at`.
    pub(super) fn confirm(&self, sent_at: Timestamp) {
        // Detects a pause since the call was sent first, as the answer may be from before the pause.
        let (mut pauses, _) = self.observe();
        pauses.confirm(sent_at);
    }

    /// Records that the process is running, and detects a pause that has just ended.
    pub(super) fn observe(&self) -> (MutexGuard<'_, PauseDetector>, Timestamp) {
        let mut pauses = self.pauses.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        if let Some(gap) = pauses.observe(now) {
            tracing::warn!(
                gap_ms = gap.get(),
                "policy: process was paused, reading the configuration before requests are handled"
            );
        }
        (pauses, now)
    }
}
