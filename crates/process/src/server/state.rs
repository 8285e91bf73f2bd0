use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::server::Limits;
use crate::shutdown::Trigger;

/// Listens, but doesn't answer yet.
#[derive(Debug)]
pub struct Bound {
    pub(super) listener: TcpListener,
    pub(super) limits: Limits,
}

/// Answers requests.
#[derive(Debug)]
pub struct Serving {
    pub(super) stop: Trigger,
    pub(super) task: JoinHandle<()>,
}

/// Finishes requests in flight.
#[derive(Debug)]
pub struct Draining {
    pub(super) task: JoinHandle<()>,
}
