use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use crate::RunError;
use crate::settings::{Checked, parse};

/// Interval between checks of the file, which may change without a SIGHUP.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Receives SIGHUP, the request to reload the settings.
#[derive(Debug)]
pub(crate) struct Hangup(Signal);

impl Hangup {
    /// Listens for SIGHUP; needs a running tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal handler can't be installed.
    pub(crate) fn install() -> Result<Self, RunError> {
        let failed = |e| RunError::new("process: can't install the SIGHUP handler", e);
        signal(SignalKind::hangup()).map(Self).map_err(failed)
    }
}

/// Watches a settings file and reloads it on SIGHUP and when its text has changed. An invalid file is logged and the
/// last valid settings stay in use. Runs until the process ends.
pub(crate) fn follow<T>(path: PathBuf, first: T, hangup: Hangup) -> watch::Receiver<Arc<T>>
where
    T: DeserializeOwned + Checked + Send + Sync + 'static,
{
    let (tx, rx) = watch::channel(Arc::new(first));
    tokio::spawn(watch_file(path, hangup.0, tx));
    rx
}

async fn watch_file<T>(path: PathBuf, mut hangup: Signal, tx: watch::Sender<Arc<T>>)
where
    T: DeserializeOwned + Checked,
{
    let mut last = read_file(&path);
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(CHECK_INTERVAL) => false,
        };
        let text = read_file(&path);
        if text == last {
            if signalled {
                tracing::info!("process: received SIGHUP, the settings file is unchanged");
            }
            continue;
        }
        if let Some(text) = &text {
            match parse::<T>(&path, text) {
                Ok(settings) => {
                    tracing::info!(signalled, "process: settings reloaded");
                    tx.send_replace(Arc::new(settings));
                }
                Err(e) => {
                    tracing::error!(
                        "process: the changed settings file is invalid, the last valid settings stay in use: {e}"
                    )
                }
            }
        }
        last = text;
    }
}

/// Returns the text of the file, or `None` if it can't be read.
fn read_file(path: &Path) -> Option<String> {
    match std::fs::read_to_string(path) {
        Ok(text) => Some(text),
        Err(e) => {
            tracing::error!(path = %path.display(), "process: the settings file can't be read, the last valid settings stay in use: {e}");
            None
        }
    }
}
