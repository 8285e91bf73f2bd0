use std::sync::Arc;

use lagoon_adapter::{AdviserClient, ExecutorClient, StoreClient};
use lagoon_core::unit::Millis;
use lagoon_jobs::id::MemberId;
use lagoon_jobs::policy::CellPolicy;
use lagoon_platform::{ClientSettings, ConnectionGate, Endpoint, Transport};
use lagoon_process::{Clock, Metrics};
use tokio::sync::watch;

use crate::api::CancelLimiter;
use crate::cell::CellView;
use crate::peers::PeerClients;
use crate::policy::{PolicyGuard, SharedRead};
use crate::settings::{LimitSettings, NodeSettings};

/// Time-out for a call to the store. It usually answers in 4 ms, and callers wait 3 s in total.
const STORE_TIMEOUT: Millis = Millis::new(1_200);
/// Time-out for a request to an executor. The slowest link has a round trip of 40 ms.
const EXECUTOR_TIMEOUT: Millis = Millis::new(800);
/// Time-out for a request to the adviser, on top of the time that the adviser takes for the answer.
const ADVISER_TIMEOUT: Millis = Millis::new(2_500);
/// Time-out for connecting, by which a refused or broken link is detected.
const CONNECT_TIMEOUT: Millis = Millis::new(400);

/// State shared by all tasks of a node.
#[derive(Debug, Clone)]
pub(crate) struct Context {
    /// Settings at the start of the process.
    pub(crate) settings: Arc<NodeSettings>,
    /// Current limits; they follow reloaded settings.
    pub(crate) limits: watch::Sender<LimitSettings>,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) store: StoreClient,
    pub(crate) executors: ExecutorClient,
    /// Holds back new connections for starts until it is known where they lead and that this member still owns the cell.
    pub(crate) start_gate: ConnectionGate,
    pub(crate) adviser: AdviserClient,
    pub(crate) peers: PeerClients,
    /// Current configuration; `None` until the first one arrives.
    pub(crate) policy: watch::Sender<Option<Arc<CellPolicy>>>,
    pub(crate) policy_guard: Arc<PolicyGuard>,
    /// Reads of the configuration for requests that it has no queue for.
    pub(crate) policy_read: Arc<SharedRead>,
    pub(crate) cancel_limiter: Arc<CancelLimiter>,
    /// Members and owner of the cell.
    pub(crate) cell: watch::Sender<Arc<CellView>>,
    /// Whether the store answered the last lease call of this node.
    pub(crate) store_reachable: watch::Sender<bool>,
}

impl Context {
    pub(crate) fn new(settings: NodeSettings, clock: Clock, metrics: Metrics) -> Self {
        let gated = |request_timeout, gate| {
            Transport::new(ClientSettings {
                request_timeout,
                connect_timeout: CONNECT_TIMEOUT,
                gate,
                ..ClientSettings::default()
            })
        };
        let transport = |request_timeout| gated(request_timeout, None);
        let start_gate = ConnectionGate::default();
        let starts = gated(EXECUTOR_TIMEOUT, Some(start_gate.clone()));
        let endpoint = |address: lagoon_process::settings::Address| Endpoint::from(address.get());
        Self {
            store: StoreClient::new(endpoint(settings.store), transport(STORE_TIMEOUT)),
            executors: ExecutorClient::new(transport(EXECUTOR_TIMEOUT), starts),
            start_gate,
            adviser: AdviserClient::new(endpoint(settings.adviser), transport(ADVISER_TIMEOUT)),
            peers: PeerClients::default(),
            policy: watch::Sender::new(None),
            policy_guard: Arc::new(PolicyGuard::new(clock)),
            policy_read: Arc::default(),
            cancel_limiter: Arc::new(CancelLimiter::new(clock.now())),
            cell: watch::Sender::new(Arc::default()),
            store_reachable: watch::Sender::new(true),
            limits: watch::Sender::new(settings.limits),
            settings: Arc::new(settings),
            clock,
            metrics,
        }
    }

    pub(crate) fn member(&self) -> &MemberId {
        &self.settings.member
    }

    pub(crate) fn current_limits(&self) -> LimitSettings {
        *self.limits.borrow()
    }

    pub(crate) fn current_policy(&self) -> Option<Arc<CellPolicy>> {
        self.policy.borrow().clone()
    }

    /// Records whether the store answered the last call that registers the member or renews its lease.
    pub(crate) fn set_store_reachable(&self, is_reachable: bool) {
        let changed = self.store_reachable.send_if_modified(|known| {
            let changed = *known != is_reachable;
            *known = is_reachable;
            changed
        });
        match (changed, is_reachable) {
            (true, true) => tracing::info!("cell: store is reachable again"),
            (true, false) => tracing::warn!(
                "cell: store does not answer; jobs and cancellations are forwarded to other members"
            ),
            (false, _) => {}
        }
    }

    /// Returns true if the store answers this node.
    pub(crate) fn has_store(&self) -> bool {
        *self.store_reachable.borrow()
    }

    pub(crate) fn current_cell(&self) -> Arc<CellView> {
        self.cell.borrow().clone()
    }
}
