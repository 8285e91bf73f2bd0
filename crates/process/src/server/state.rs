use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::Metrics;
use crate::server::Limits;
use crate::shutdown::Trigger;

/// Listening, not yet serving.
#[derive(Debug)]
pub struct Bound {
    pub(super) listener: TcpListener,
    pub(super) limits: Limits,
    pub(super) metrics: Metrics,
}

/// Serving requests.
#[derive(Debug)]
pub struct Serving {
    pub(super) stop: Trigger,
    pub(super) task: JoinHandle<()>,
}

/// Finishing requests in flight; no new connections.
#[derive(Debug)]
pub struct Draining {
    pub(super) task: JoinHandle<()>,
}
