use std::sync::Arc;

use tokio::sync::watch;

/// Shared flag that tells whether a process can take requests, with the reason if not.
#[derive(Debug, Clone)]
pub struct Readiness {
    reason: Arc<watch::Sender<Option<String>>>,
}

impl Readiness {
    /// Starts as not ready.
    pub fn not_ready(reason: impl Into<String>) -> Self {
        Self {
            reason: Arc::new(watch::Sender::new(Some(reason.into()))),
        }
    }

    /// Becomes ready, or not ready for a reason; returns whether that is a change.
    pub fn set(&self, reason: Option<String>) -> bool {
        self.reason.send_if_modified(|current| {
            let changed = *current != reason;
            *current = reason;
            changed
        })
    }

    /// Returns why the process isn't ready, `None` if it is.
    pub fn reason(&self) -> Option<String> {
        self.reason.borrow().clone()
    }

    /// Tells whether the process is ready.
    pub fn is_ready(&self) -> bool {
        self.reason.borrow().is_none()
    }

    /// Waits until the process is ready.
    pub async fn wait(&self) {
        let mut rx = self.reason.subscribe();
        // The sender lives as long as `self`, so this can't fail.
        let _ = rx.wait_for(Option::is_none).await;
    }
}
