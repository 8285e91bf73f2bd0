//! The request to stop: SIGTERM, SIGINT, or a call from a program that runs several roles in one process.

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::RunError;

/// Receives the request to stop.
#[derive(Debug, Clone)]
pub struct Signal {
    rx: watch::Receiver<bool>,
}

/// Sends the request to stop. Dropping it also counts as a request.
#[derive(Debug)]
pub struct Trigger {
    tx: watch::Sender<bool>,
}

impl Signal {
    /// Listens for SIGTERM and SIGINT; needs a running tokio runtime.
    ///
    /// # Errors
    ///
    /// When the handlers can't be installed.
    pub fn install() -> Result<Self, RunError> {
        let failed = |e| RunError::new("process: can't listen for signals", e);
        let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
        let (trigger, stop) = Self::manual();
        tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => tracing::info!("process: SIGTERM received, stopping"),
                _ = interrupt.recv() => tracing::info!("process: SIGINT received, stopping"),
            }
            trigger.fire();
        });
        Ok(stop)
    }

    /// Creates a signal that only its trigger sets.
    pub fn manual() -> (Trigger, Self) {
        let (tx, rx) = watch::channel(false);
        (Trigger { tx }, Self { rx })
    }

    /// Waits for the request to stop.
    pub async fn wait(&mut self) {
        // An error means that the trigger was dropped, which counts as a request too.
        let _ = self.rx.wait_for(|stop| *stop).await;
    }

    /// Tells whether the request has arrived.
    pub fn is_set(&self) -> bool {
        *self.rx.borrow() || self.rx.has_changed().is_err()
    }
}

impl Trigger {
    /// Requests the stop.
    pub fn fire(&self) {
        self.tx.send_replace(true);
    }
}
