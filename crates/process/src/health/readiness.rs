use std::sync::Arc;

use tokio::sync::watch;

/// Shared readiness state of a process, with the reason while it is not ready.
#[derive(Debug, Clone)]
pub struct Readiness {
    reason: Arc<watch::Sender<Option<String>>>,
}

impl Readiness {
    /// Creates a state that is not ready for `reason`.
    pub fn not_ready(reason: impl Into<String>) -> Self {
        Self {
            reason: Arc::new(watch::Sender::new(Some(reason.into()))),
        }
    }

    /// Sets the reason why the process is not ready, or `None` for ready. Returns true if the state changed.
    pub fn set(&self, reason: Option<String>) -> bool {
        self.reason.send_if_modified(|current| {
            let changed = *current != reason;
            *current = reason;
            changed
        })
    }

    /// Returns the reason why the process is not ready, or `None` if it is ready.
    pub fn reason(&self) -> Option<String> {
        self.reason.borrow().clone()
    }

    /// Returns true if the process is ready.
    pub fn is_ready(&self) -> bool {
        self.reason.borrow().is_none()
    }

    /// Waits until the process is ready.
    pub async fn wait(&self) {
        let mut rx = self.reason.subscribe();
        // Can't fail: `self` holds the sender.
        let _ = rx.wait_for(Option::is_none).await;
    }
}
