use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use lagoon_wire::v1::DescribeShardsRequest;
use lagoon_wire::v1::scheduler_client::SchedulerClient;
use rustix::process::Signal;
use tonic::transport::Endpoint;

use crate::harness::child::with_descriptors;
use crate::harness::{BoxError, Child, Client, DaemonKind, eventually};

const READY_TIMEOUT: Duration = Duration::from_secs(40);
/// Limit for the exit after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Scheduler or gateway in its own process.
#[derive(Debug)]
pub(crate) struct Daemon {
    pub(crate) name: String,
    pub(crate) domain: &'static str,
    /// Listen address: of the caller API for a gateway, of the gRPC API for a scheduler.
    pub(crate) address: SocketAddr,
    /// Address of the health, readiness and metrics endpoints.
    pub(crate) health: SocketAddr,
    kind: DaemonKind,
    settings: PathBuf,
    child: Option<Child>,
    /// Limit of open descriptors; `None` for that of the test.
    descriptors: Option<u32>,
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
            descriptors: None,
        }
    }

    pub(crate) fn write_settings(&self, text: &str) -> Result<(), BoxError> {
        Ok(std::fs::write(&self.settings, text)?)
    }

    /// Starts the process, or starts it again after it has exited.
    pub(crate) fn start(&mut self) -> Result<(), BoxError> {
        let args = ["--settings".to_owned(), self.settings.display().to_string()];
        let log = self.settings.with_extension("log");
        let program = self.kind.program();
        let (program, args) = with_descriptors(self.descriptors, program, args.into());
        self.child = Some(Child::spawn(
            &self.name,
            &program,
            &args,
            log,
            Stdio::piped(),
        )?);
        Ok(())
    }

    /// Limits the descriptors that the process may open, from its next start on.
    pub(crate) fn limit_descriptors(&mut self, descriptors: Option<u32>) {
        self.descriptors = descriptors;
    }

    /// Returns the process id, or `None` before the process is started.
    pub(crate) fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns true while the process runs.
    pub(crate) fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| child.try_exit_status().is_none())
    }

    /// Waits until the readiness endpoint reports that the process accepts work.
    pub(crate) async fn wait_until_ready(&self, client: &Client) -> Result<(), BoxError> {
        let what = format!("{} is ready", self.name);
        let poll = || client.read(&self.health, "/readyz");
        eventually(&what, READY_TIMEOUT, poll).await.map(drop)
    }

    /// Sends SIGKILL and reaps the process.
    pub(crate) fn kill(&mut self) {
        self.child = None;
    }

    /// Sends SIGSTOP.
    pub(crate) fn pause(&self) -> Result<(), BoxError> {
        self.running_child()?.signal(Signal::STOP)
    }

    /// Sends SIGCONT.
    pub(crate) fn resume(&self) -> Result<(), BoxError> {
        self.running_child()?.signal(Signal::CONT)
    }

    /// Sends SIGTERM.
    pub(crate) fn terminate(&self) -> Result<(), BoxError> {
        self.running_child()?.signal(Signal::TERM)
    }

    /// Waits until the process exits after SIGTERM.
    pub(crate) async fn wait_for_exit(&mut self) -> Result<ExitStatus, BoxError> {
        let child = self.child.as_mut().ok_or("the daemon was never started")?;
        child.wait(STOP_TIMEOUT).await
    }

    /// Returns the policy version of a scheduler and the number of its shards, or `None` if it does not respond.
    pub(crate) async fn describe(&self) -> Option<(u64, usize)> {
        let endpoint = Endpoint::from_shared(format!("http://{}", self.address)).ok()?;
        let endpoint = endpoint.connect_timeout(CALL_TIMEOUT).timeout(CALL_TIMEOUT);
        let channel = endpoint.connect().await.ok()?;
        let mut client = SchedulerClient::new(channel);
        let response = client
            .describe_shards(DescribeShardsRequest {})
            .await
            .ok()?;
        let response = response.into_inner();
        Some((response.policy_version, response.shards.len()))
    }

    fn running_child(&self) -> Result<&Child, BoxError> {
        let missing = || format!("{} is not running", self.name).into();
        self.child.as_ref().ok_or_else(missing)
    }
}
