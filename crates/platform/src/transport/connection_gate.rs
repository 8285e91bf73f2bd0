use std::sync::Arc;

use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// Holds back the new connections of a transport until they are admitted, so that a request is sent only on connections that were
/// established before a later event, such as the confirmation of a lease. Clones share their state.
#[derive(Debug, Clone)]
pub struct ConnectionGate(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    admitted_before: watch::Sender<Option<Instant>>,
    held_back: Notify,
}

impl ConnectionGate {
    /// Returns a gate that admits no connection yet.
    pub fn closed() -> Self {
        Self(Arc::new(Inner {
            admitted_before: watch::Sender::new(None),
            held_back: Notify::new(),
        }))
    }

    /// Admits the connections that were established before `at`.
    pub fn admit_before(&self, at: Instant) {
        self.0.admitted_before.send_if_modified(|admitted| {
            let is_later = admitted.is_none_or(|admitted| admitted < at);
            if is_later {
                *admitted = Some(at);
            }
            is_later
        });
    }

    /// Waits until a connection is held back.
    pub async fn wait_for_connection(&self) {
        self.0.held_back.notified().await;
    }

    /// Waits until a connection that was established at `established_at` is admitted.
    pub(crate) async fn pass(&self, established_at: Instant) {
        let mut admitted = self.0.admitted_before.subscribe();
        let is_admitted = |before: &Option<Instant>| before.is_some_and(|at| established_at < at);
        if is_admitted(&admitted.borrow_and_update()) {
            return;
        }
        self.0.held_back.notify_one();
        // The gate keeps the sender, so this resolves only once the connection is admitted.
        let _ = admitted.wait_for(is_admitted).await;
    }
}
