use std::collections::BTreeMap;
use std::path::Path;

use lagoon_platform::store::Expect;
use lagoon_platform::{ClientSettings, StoreClient, Transport};
use lagoon_standin::platform::Addresses;
use lagoon_standin::workers::ViolationsAnswer;
use serde_json::Value;

use crate::harness::{BoxError, Child, Client, ClusterPlan};

const POLICY_KEY: &str = "policy";

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
        let mut child = Child::spawn("standin", program, &args, log)?;
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
        self.store.put(POLICY_KEY, &text, Expect::Any, None).await?;
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
}
