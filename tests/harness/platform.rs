use std::collections::BTreeMap;
use std::path::Path;
use std::process::Stdio;

use hyper::Method;
use lagoon_platform::hosts::{HostEntry, HostState};
use lagoon_platform::store::Precondition;
use lagoon_platform::{ClientSettings, StoreClient, Transport};
use lagoon_standin::fault::FaultTarget;
use lagoon_standin::platform::Addresses;
use lagoon_standin::store::StoreCalls;
use lagoon_standin::workers::ViolationsAnswer;
use serde_json::Value;

use crate::harness::{BoxError, Child, Client, ClusterPlan, Faults};

const POLICY_KEY: &str = "policy";

/// Counts of each key on each worker or executor.
pub(crate) type Counts = BTreeMap<String, BTreeMap<String, u32>>;

/// The fake platform in a process of its own.
#[derive(Debug)]
pub(crate) struct Platform {
    pub(crate) addresses: Addresses,
    pub(crate) store: StoreClient,
    client: Client,
    _child: Child,
}

impl Platform {
    pub(crate) fn start(plan: &ClusterPlan, folder: &Path) -> Result<Self, BoxError> {
        let mut args = vec![
            format!("--workers={}", plan.workers),
            format!("--executors={}", plan.executors),
        ];
        for domain in &plan.domains {
            args.extend(["--domain".to_owned(), (*domain).to_owned()]);
        }
        let args: Vec<String> = args
            .iter()
            .flat_map(|arg| arg.split('='))
            .map(str::to_owned)
            .chain(plan.platform_args.iter().cloned())
            .collect();
        let program = env!("CARGO_BIN_EXE_lagoon-standin");
        let log = folder.join("standin.log");
        let mut child = Child::spawn("standin", program, &args, log, Stdio::piped())?;
        let line = child.first_line()?;
        let addresses: Addresses = serde_json::from_str(&line)
            .map_err(|e| format!("the stand-in printed {line:?}: {e}"))?;
        let transport = Transport::new(ClientSettings::default());
        Ok(Self {
            store: StoreClient::new(addresses.store.clone(), transport),
            client: Client::new(),
            addresses,
            _child: child,
        })
    }

    /// Writes the policy document.
    pub(crate) async fn put_policy(&self, policy: &Value) -> Result<(), BoxError> {
        let text = policy.to_string();
        self.store
            .put(POLICY_KEY, &text, Precondition::Any, None)
            .await?;
        Ok(())
    }

    pub(crate) fn store_faults(&self) -> Faults<'_> {
        Faults::new(&self.client, &self.addresses.store, FaultTarget::Store)
    }

    pub(crate) fn worker_faults(&self, worker: &str) -> Result<Faults<'_>, BoxError> {
        let target = FaultTarget::Worker(worker.parse()?);
        Ok(Faults::new(
            &self.client,
            &self.addresses.worker_server,
            target,
        ))
    }

    pub(crate) fn executor_faults(&self, executor: &str) -> Result<Faults<'_>, BoxError> {
        let target = FaultTarget::Executor(executor.parse()?);
        let server = &self.addresses.executor_server;
        Ok(Faults::new(&self.client, server, target))
    }

    /// Marks a host as leaving.
    pub(crate) async fn mark_leaving(&self, host: &str) -> Result<(), BoxError> {
        let hosts = &self.addresses.hosts;
        let listed = self.client.read(hosts, "/hosts").await;
        let mut entries: Vec<HostEntry> =
            serde_json::from_value(listed.ok_or("no host list came")?)?;
        for entry in &mut entries {
            if entry.host.as_str() == host {
                entry.state = HostState::Leaving;
            }
        }
        let body = serde_json::to_value(entries)?;
        self.client
            .send(hosts, Method::PUT, "/hosts", None, Some(&body))
            .await?;
        Ok(())
    }

    /// Returns what the workers saw that must never happen.
    pub(crate) async fn violations(&self) -> Result<ViolationsAnswer, BoxError> {
        let server = &self.addresses.worker_server;
        let answer = self.client.read(server, "/violations").await;
        Ok(serde_json::from_value(answer.ok_or("no violations came")?)?)
    }

    /// Returns how often each request ran on all executors together.
    pub(crate) async fn runs(&self) -> Result<BTreeMap<String, u32>, BoxError> {
        let server = &self.addresses.executor_server;
        let answer = self.client.read(server, "/runs").await;
        Ok(serde_json::from_value(answer.ok_or("no runs came")?)?)
    }

    /// Returns how often each worker started each member of a job.
    pub(crate) async fn starts(&self) -> Result<Counts, BoxError> {
        let server = &self.addresses.worker_server;
        let answer = self.client.read(server, "/starts").await;
        Ok(serde_json::from_value(answer.ok_or("no starts came")?)?)
    }

    /// Returns how often each executor ran each payload, under the beginning of its text.
    pub(crate) async fn payloads(&self) -> Result<Counts, BoxError> {
        let server = &self.addresses.executor_server;
        let answer = self.client.read(server, "/payloads").await;
        Ok(serde_json::from_value(answer.ok_or("no payloads came")?)?)
    }

    /// Changes the behaviour of a worker: `crash`, `restart`, `fail` or `recover`.
    pub(crate) async fn change_worker(&self, worker: &str, change: &str) -> Result<(), BoxError> {
        let server = &self.addresses.worker_server;
        let path = format!("/workers/{worker}/{change}");
        let answer = self
            .client
            .send(server, Method::POST, &path, None, None)
            .await?;
        match answer.status {
            200 => Ok(()),
            status => Err(format!("{path} was answered {status}").into()),
        }
    }

    /// Returns the counts of calls to the store.
    pub(crate) async fn store_calls(&self) -> Result<StoreCalls, BoxError> {
        let answer = self.client.read(&self.addresses.store, "/calls").await;
        Ok(serde_json::from_value(answer.ok_or("no counts came")?)?)
    }
}
