use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::harness::{BoxError, Child, Client, DaemonKind, eventually};

/// Wait for the readiness of a daemon.
const READY_LIMIT: Duration = Duration::from_secs(40);

/// Scheduler or gateway in a process of its own.
#[derive(Debug)]
pub(crate) struct Daemon {
    pub(crate) name: String,
    pub(crate) domain: &'static str,
    /// Address of the callers' API of a gateway, or of the calls to a scheduler.
    pub(crate) address: SocketAddr,
    /// Address of health, readiness and metrics.
    pub(crate) health: SocketAddr,
    kind: DaemonKind,
    settings: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    pub(crate) fn new(
        kind: DaemonKind,
        name: String,
        domain: &'static str,
        address: SocketAddr,
        health: SocketAddr,
        settings: PathBuf,
    ) -> Self {
        Self {
            name,
            domain,
            address,
            health,
            kind,
            settings,
            child: None,
        }
    }

    /// Writes the settings file.
    pub(crate) fn write_settings(&self, text: &str) -> Result<(), BoxError> {
        Ok(std::fs::write(&self.settings, text)?)
    }

    /// Starts the process, also after it has ended.
    pub(crate) fn start(&mut self) -> Result<(), BoxError> {
        let args = ["--settings".to_owned(), self.settings.display().to_string()];
        let log = self.settings.with_extension("log");
        let program = self.kind.program();
        self.child = Some(Child::spawn(&self.name, program, &args, log)?);
        Ok(())
    }

    /// Tells whether the process runs.
    pub(crate) fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| child.exited().is_none())
    }

    /// Waits until the process says that it takes work.
    pub(crate) async fn ready(&self, client: &Client) -> Result<(), BoxError> {
        let what = format!("{} is ready", self.name);
        let look = || client.read(&self.health, "/readyz");
        eventually(&what, READY_LIMIT, look).await.map(drop)
    }
}
