//! Shutdown requests: SIGTERM, SIGINT, or a call by a program that runs several daemons in one process.

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::RunError;

/// Receives the shutdown request.
#[derive(Debug, Clone)]
pub struct Signal {
    rx: watch::Receiver<bool>,
}

/// Sends the shutdown request. Dropping the trigger also requests the shutdown.
#[derive(Debug)]
pub struct Trigger {
    tx: watch::Sender<bool>,
}

impl Signal {
    /// Listens for SIGTERM and SIGINT; needs a running tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal handlers can't be installed.
    pub fn install() -> Result<Self, RunError> {
        let failed = |e| RunError::new("process: can't install the signal handlers", e);
        let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
        let (trigger, stop) = Self::manual();
        tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => tracing::info!("process: received SIGTERM, shutting down"),
                _ = interrupt.recv() => tracing::info!("process: received SIGINT, shutting down"),
            }
            trigger.fire();
        });
        Ok(stop)
    }

    /// Creates a signal that is set only by the returned trigger.
    pub fn manual() -> (Trigger, Self) {
        let (tx, rx) = watch::channel(false);
        (Trigger { tx }, Self { rx })
    }

    /// Waits for the shutdown request.
    pub async fn wait(&mut self) {
        // An error means that the trigger was dropped, which also requests the shutdown.
        let _ = self.rx.wait_for(|stop| *stop).await;
    }

    /// Returns true if the shutdown has been requested.
    pub fn is_set(&self) -> bool {
        *self.rx.borrow() || self.rx.has_changed().is_err()
    }
}

impl Trigger {
    /// Requests the shutdown.
    pub fn fire(&self) {
        self.tx.send_replace(true);
    }
}
