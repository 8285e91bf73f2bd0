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
use lagoon_standin::workers::ViolationsResponse;
use serde_json::Value;

use crate::harness::{BoxError, Child, Client, ClusterPlan, Faults};

const POLICY_KEY: &str = "policy";

/// Counts by worker or executor, then by task or payload.
pub(crate) type Counts = BTreeMap<String, BTreeMap<String, u32>>;

/// Simulated platform in its own process.
#[derive(Debug)]
pub(crate) struct Platform {
    pub(crate) addresses: Addresses,
    pub(crate) store: StoreClient,
    client: Client,
    _child: Child,
}

impl Platform {
    pub(crate) fn start(plan: &ClusterPlan, dir: &Path) -> Result<Self, BoxError> {
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
        let log = dir.join("standin.log");
        let mut child = Child::spawn("standin", program, &args, log, Stdio::piped())?;
        let line = child.read_first_line()?;
        let addresses: Addresses = serde_json::from_str(&line)
            .map_err(|e| format!("the stand-in printed {line:?} instead of its addresses: {e}"))?;
        let transport = Transport::new(ClientSettings::default());
        Ok(Self {
            store: StoreClient::new(addresses.store.clone(), transport),
            client: Client::new(),
            addresses,
            _child: child,
        })
    }

    /// Writes the policy document to the store.
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

    /// Marks a host as leaving in the host list.
    pub(crate) async fn mark_leaving(&self, host: &str) -> Result<(), BoxError> {
        let hosts = &self.addresses.hosts;
        let listed = self.client.read(hosts, "/hosts").await;
        let mut entries: Vec<HostEntry> =
            serde_json::from_value(listed.ok_or("GET /hosts failed")?)?;
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

    /// Returns the violations that the simulated workers recorded.
    pub(crate) async fn violations(&self) -> Result<ViolationsResponse, BoxError> {
        let server = &self.addresses.worker_server;
        let response = self.client.read(server, "/violations").await;
        Ok(serde_json::from_value(
            response.ok_or("GET /violations failed")?,
        )?)
    }

    /// Returns how many times each request ran, over all executors.
    pub(crate) async fn runs(&self) -> Result<BTreeMap<String, u32>, BoxError> {
        let server = &self.addresses.executor_server;
        let response = self.client.read(server, "/runs").await;
        Ok(serde_json::from_value(response.ok_or("GET /runs failed")?)?)
    }

    /// Returns how many times each worker started each task.
    pub(crate) async fn starts(&self) -> Result<Counts, BoxError> {
        let server = &self.addresses.worker_server;
        let response = self.client.read(server, "/starts").await;
        Ok(serde_json::from_value(
            response.ok_or("GET /starts failed")?,
        )?)
    }

    /// Returns how many times each executor ran each payload, keyed by a prefix of the payload.
    pub(crate) async fn payloads(&self) -> Result<Counts, BoxError> {
        let server = &self.addresses.executor_server;
        let response = self.client.read(server, "/payloads").await;
        Ok(serde_json::from_value(
            response.ok_or("GET /payloads failed")?,
        )?)
    }

    /// Applies `crash`, `restart`, `fail` or `recover` to a worker.
    pub(crate) async fn change_worker(&self, worker: &str, change: &str) -> Result<(), BoxError> {
        let server = &self.addresses.worker_server;
        let path = format!("/workers/{worker}/{change}");
        let response = self
            .client
            .send(server, Method::POST, &path, None, None)
            .await?;
        match response.status {
            200 => Ok(()),
            status => Err(format!("POST {path} returned status {status}").into()),
        }
    }

    /// Returns the numbers of calls to the store.
    pub(crate) async fn store_calls(&self) -> Result<StoreCalls, BoxError> {
        let response = self.client.read(&self.addresses.store, "/calls").await;
        Ok(serde_json::from_value(
            response.ok_or("GET /calls failed")?,
        )?)
    }
}
