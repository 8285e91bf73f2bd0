use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use lagoon_wire::v1::DescribeShardsRequest;
use lagoon_wire::v1::scheduler_client::SchedulerClient;
use rustix::process::Signal;
use tonic::transport::Endpoint;

use crate::harness::{BoxError, Child, Client, DaemonKind, eventually};

/// Wait for the readiness of a daemon.
const READY_LIMIT: Duration = Duration::from_secs(40);
/// Wait for the end of a daemon that was told to stop.
const STOP_LIMIT: Duration = Duration::from_secs(40);
/// Wait for the answer to a call.
const CALL_LIMIT: Duration = Duration::from_secs(1);

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
        self.child = Some(Child::spawn(
            &self.name,
            program,
            &args,
            log,
            Stdio::piped(),
        )?);
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

    /// Sends SIGKILL and reaps the process.
    pub(crate) fn kill(&mut self) {
        self.child = None;
    }

    /// Sends SIGSTOP.
    pub(crate) fn pause(&self) -> Result<(), BoxError> {
        self.running()?.signal(Signal::STOP)
    }

    /// Sends SIGCONT.
    pub(crate) fn resume(&self) -> Result<(), BoxError> {
        self.running()?.signal(Signal::CONT)
    }

    /// Sends SIGTERM.
    pub(crate) fn terminate(&self) -> Result<(), BoxError> {
        self.running()?.signal(Signal::TERM)
    }

    /// Waits for the end after SIGTERM.
    pub(crate) async fn stopped(&mut self) -> Result<ExitStatus, BoxError> {
        let child = self.child.as_mut().ok_or("the daemon was never started")?;
        child.wait(STOP_LIMIT).await
    }

    /// Asks a scheduler for its policy version and the number of its shards; none if it does not answer.
    pub(crate) async fn describe(&self) -> Option<(u64, usize)> {
        let endpoint = Endpoint::from_shared(format!("http://{}", self.address)).ok()?;
        let endpoint = endpoint.connect_timeout(CALL_LIMIT).timeout(CALL_LIMIT);
        let channel = endpoint.connect().await.ok()?;
        let mut client = SchedulerClient::new(channel);
        let answer = client
            .describe_shards(DescribeShardsRequest {})
            .await
            .ok()?;
        let answer = answer.into_inner();
        Some((answer.policy_version, answer.shards.len()))
    }

    fn running(&self) -> Result<&Child, BoxError> {
        let missing = || format!("{} does not run", self.name).into();
        self.child.as_ref().ok_or_else(missing)
    }
}
