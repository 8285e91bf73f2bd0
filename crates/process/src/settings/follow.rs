use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use crate::RunError;
use crate::settings::{Checked, parse};

/// Time between two looks at the file, because it may change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Receives SIGHUP, which tells that the settings have changed.
#[derive(Debug)]
pub(crate) struct Hangup(Signal);

impl Hangup {
    /// Listens for SIGHUP; needs a running tokio runtime.
    ///
    /// # Errors
    ///
    /// When the handler can't be installed.
    pub(crate) fn install() -> Result<Self, RunError> {
        let failed = |e| RunError::new("process: can't listen for signals", e);
        signal(SignalKind::hangup()).map(Self).map_err(failed)
    }
}

/// Follows a settings file: reads it anew at SIGHUP and when its text has changed. A file that is wrong is reported and
/// the last valid settings stay. Ends when the process does.
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
                tracing::info!("process: SIGHUP received, the settings are unchanged");
            }
            continue;
        }
        if let Some(text) = &text {
            match parse::<T>(&path, text) {
                Ok(settings) => {
                    tracing::info!(signalled, "process: settings read anew");
                    tx.send_replace(Arc::new(settings));
                }
                Err(e) => {
                    tracing::error!("process: new settings are wrong, the last ones stay: {e}")
                }
            }
        }
        last = text;
    }
}

/// Returns the text of the file; `None` if it can't be read.
fn read_file(path: &Path) -> Option<String> {
    match std::fs::read_to_string(path) {
        Ok(text) => Some(text),
        Err(e) => {
            tracing::error!(path = %path.display(), "process: settings can't be read, the last ones stay: {e}");
            None
        }
    }
}
