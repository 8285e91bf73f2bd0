use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use lagoon_standin::free_address;
use rustix::process::Signal;
use tokio::time::Instant;

use crate::harness::{BoxError, Child};

/// Time from the request to stop to the end; the settings give two seconds of grace.
const STOP_LIMIT: Duration = Duration::from_secs(10);
/// Time in which a program writes its first line.
const BEGIN_LIMIT: Duration = Duration::from_secs(2);

/// One node as a process of its own.
#[derive(Debug)]
pub(crate) struct Node {
    name: String,
    settings: PathBuf,
    pub(crate) callers: SocketAddr,
    child: Option<Child>,
    /// Size of the log when the process was started.
    logged_before: u64,
}

impl Node {
    /// Writes the settings of a node and starts it.
    pub(crate) fn spawn(
        number: usize,
        folder: &Path,
        store: SocketAddr,
        adviser: SocketAddr,
    ) -> Result<Self, BoxError> {
        let (callers, readiness) = (free_address()?, free_address()?);
        let (peers, metrics) = (free_address()?, free_address()?);
        let name = format!("m{number}");
        let text = format!(
            "member: {name}\nfailure_domain: d1\nstrength: 0.5\nlisten:\n  callers: {callers}\n  \
             readiness: {readiness}\n  peers: {peers}\n  metrics: {metrics}\nstore: {store}\nadviser: {adviser}\n\
             limits:\n  max_lease: 6s\n  retention: 120s\n  grace: 4s\n  min_store_lease: 1s\nlog:\n  format: json\n"
        );
        let settings = folder.join(format!("{name}.yaml"));
        std::fs::write(&settings, text)?;
        let mut node = Self {
            name,
            settings,
            callers,
            child: None,
            logged_before: 0,
        };
        node.start()?;
        Ok(node)
    }

    /// Starts the process; one that runs is killed first.
    pub(crate) fn start(&mut self) -> Result<(), BoxError> {
        self.child = None;
        let log = self.settings.with_extension("log");
        self.logged_before = std::fs::metadata(&log).map_or(0, |log| log.len());
        let args = ["--settings".to_owned(), self.settings.display().to_string()];
        let program = env!("CARGO_BIN_EXE_lagoon-node");
        let out = File::options().create(true).append(true).open(&log)?;
        self.child = Some(Child::spawn(&self.name, program, &args, log, out.into())?);
        Ok(())
    }

    /// Tells the process to read its settings anew.
    pub(crate) async fn hang_up(&self) -> Result<(), BoxError> {
        self.wait_for_begin().await;
        self.signal(Signal::HUP)
    }

    /// Waits until the program has written its first line; a signal before that ends any program.
    async fn wait_for_begin(&self) {
        let log = self.settings.with_extension("log");
        let until = Instant::now() + BEGIN_LIMIT;
        let size = || std::fs::metadata(&log).map_or(0, |log| log.len());
        while size() <= self.logged_before && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: Signal) -> Result<(), BoxError> {
        match &self.child {
            Some(child) => child.signal(signal),
            None => Ok(()),
        }
    }

    /// Asks the process to stop, waits for its end, and starts it again.
    pub(crate) async fn restart(&mut self) -> Result<(), BoxError> {
        self.signal(Signal::CONT)?;
        self.wait_for_begin().await;
        if let Some(child) = &mut self.child {
            child.signal(Signal::TERM)?;
            let status = child.wait(STOP_LIMIT).await?;
            if !status.success() {
                return Err(format!("{} ended with {status} at SIGTERM", self.name).into());
            }
        }
        self.start()
    }

    /// Fails if the process has ended by itself.
    pub(crate) fn check_runs(&mut self) -> Result<(), BoxError> {
        match self.child.as_mut().and_then(Child::exited) {
            Some(status) => Err(format!("{} ended by itself with {status}", self.name).into()),
            None => Ok(()),
        }
    }
}
