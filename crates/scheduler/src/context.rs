use std::sync::Arc;

use lagoon_core::unit::Millis;
use lagoon_platform::hosts::HostListClient;
use lagoon_platform::store::StoreClient;
use lagoon_platform::{ClientSettings, Endpoint, Transport};
use lagoon_process::{Clock, Metrics};

use crate::hosts::HostDirectory;
use crate::members::{Adoption, MemberTable};
use crate::policy::PolicyCell;
use crate::settings::SchedulerSettings;

/// Upper bound on the time of a request to an executor; the shard's own timeout normally ends it earlier.
const MAX_EXECUTOR_TIMEOUT: Millis = Millis::new(3_600_000);
/// Idle connections kept open to each worker or executor.
const IDLE_CONNECTIONS: usize = 8;

/// State shared by all parts of the process. Each part has its own lock.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) settings: SchedulerSettings,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) store: StoreClient,
    pub(crate) host_list: HostListClient,
    /// Transport for workers, with a timeout of half the time to live of a lease.
    pub(crate) worker_transport: Transport,
    /// Transport for executors, whose responses take longer.
    pub(crate) executor_transport: Transport,
    pub(crate) hosts: HostDirectory,
    pub(crate) members: MemberTable,
    pub(crate) adoption: Adoption,
    pub(crate) policy: PolicyCell,
}

impl Context {
    pub(crate) fn new(settings: SchedulerSettings, clock: Clock, metrics: Metrics) -> Arc<Self> {
        let client = ClientSettings {
            idle_connections: IDLE_CONNECTIONS,
            process: Some(settings.process.clone()),
            ..ClientSettings::default()
        };
        let worker_timeout = Millis::new(settings.lease.ttl.get() / 2);
        let workers = ClientSettings {
            request_timeout: worker_timeout,
            ..client.clone()
        };
        let executors = ClientSettings {
            request_timeout: MAX_EXECUTOR_TIMEOUT,
            ..client.clone()
        };
        let platform = Transport::new(client);
        let endpoint = |address: lagoon_process::settings::Address| Endpoint::from(address.get());
        Arc::new(Self {
            store: StoreClient::new(endpoint(settings.store), platform.clone()),
            host_list: HostListClient::new(endpoint(settings.host_list), platform),
            worker_transport: Transport::new(workers),
            executor_transport: Transport::new(executors),
            hosts: HostDirectory::default(),
            members: MemberTable::new(&settings),
            adoption: Adoption::default(),
            policy: PolicyCell::default(),
            settings,
            clock,
            metrics,
        })
    }
}
