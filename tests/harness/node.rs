use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use lagoon_standin::free_address;
use rustix::process::Signal;
use tokio::time::Instant;

use crate::harness::child::with_descriptors;
use crate::harness::{BoxError, Child};

/// Limit for the exit after SIGTERM; above `limits.grace` of the settings.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Limit for the first log line of a process.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(2);

/// Node in its own process.
#[derive(Debug)]
pub(crate) struct Node {
    name: String,
    settings: PathBuf,
    pub(crate) callers: SocketAddr,
    child: Option<Child>,
    /// Limit of open descriptors; `None` for that of the test.
    descriptors: Option<u32>,
    /// Size of the log before the process was started.
    log_size_at_start: u64,
}

impl Node {
    /// Writes the settings of node `number` and starts it.
    pub(crate) fn spawn(
        number: usize,
        dir: &Path,
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
        let settings = dir.join(format!("{name}.yaml"));
        std::fs::write(&settings, text)?;
        let mut node = Self {
            name,
            settings,
            callers,
            child: None,
            descriptors: None,
            log_size_at_start: 0,
        };
        node.start()?;
        Ok(node)
    }

    /// Starts the process, and kills a running one first.
    pub(crate) fn start(&mut self) -> Result<(), BoxError> {
        self.child = None;
        let log = self.settings.with_extension("log");
        self.log_size_at_start = std::fs::metadata(&log).map_or(0, |log| log.len());
        let args = ["--settings".to_owned(), self.settings.display().to_string()];
        let program = env!("CARGO_BIN_EXE_lagoon-node");
        let (program, args) = with_descriptors(self.descriptors, program, args.into());
        let out = File::options().create(true).append(true).open(&log)?;
        self.child = Some(Child::spawn(&self.name, &program, &args, log, out.into())?);
        Ok(())
    }

    /// Makes the process reload its settings with SIGHUP.
    pub(crate) async fn reload(&self) -> Result<(), BoxError> {
        self.wait_for_first_log().await;
        self.signal(Signal::HUP)
    }

    /// Waits until the process has written its first log line. Before that it has no signal handlers, and a signal ends
    /// it.
    async fn wait_for_first_log(&self) {
        let log = self.settings.with_extension("log");
        let until = Instant::now() + STARTUP_TIMEOUT;
        let size = || std::fs::metadata(&log).map_or(0, |log| log.len());
        while size() <= self.log_size_at_start && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Limits the descriptors that the process may open, from its next start on.
    pub(crate) fn limit_descriptors(&mut self, descriptors: Option<u32>) {
        self.descriptors = descriptors;
    }

    /// Returns the process id, or `None` before the process is started.
    pub(crate) fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal to the process, if it was started.
    pub(crate) fn signal(&self, signal: Signal) -> Result<(), BoxError> {
        match &self.child {
            Some(child) => child.signal(signal),
            None => Ok(()),
        }
    }

    /// Stops the process with SIGTERM, waits until it exits, and starts it again.
    pub(crate) async fn restart(&mut self) -> Result<(), BoxError> {
        self.signal(Signal::CONT)?;
        self.wait_for_first_log().await;
        if let Some(child) = &mut self.child {
            child.signal(Signal::TERM)?;
            let status = child.wait(STOP_TIMEOUT).await?;
            if !status.success() {
                return Err(format!("{} exited with {status} after SIGTERM", self.name).into());
            }
        }
        self.start()
    }

    /// Fails if the process has exited by itself.
    pub(crate) fn check_running(&mut self) -> Result<(), BoxError> {
        match self.child.as_mut().and_then(Child::try_exit_status) {
            Some(status) => Err(format!("{} exited unexpectedly with {status}", self.name).into()),
            None => Ok(()),
        }
    }
}
