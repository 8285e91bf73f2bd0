use lagoon_core::unit::Bytes;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::server::close_reason::CloseReason;
use crate::server::standing::Standing;

/// State of an open connection.
#[derive(Debug)]
pub(super) struct ConnectionEntry {
    pub(super) standing: Standing,
    /// Whether the server waits for the client, to send a request or to read a response. Only such connections may be
    /// closed.
    pub(super) waits_for_client: bool,
    /// Start of the current request, or of the wait for the next one.
    pub(super) since: Instant,
    /// Memory reserved for the current request.
    pub(super) reserved: Bytes,
    /// Ends the task of the connection.
    pub(super) close: oneshot::Sender<CloseReason>,
}

impl ConnectionEntry {
    pub(super) fn new(since: Instant, close: oneshot::Sender<CloseReason>) -> Self {
        Self {
            standing: Standing::New,
            waits_for_client: true,
            since,
            reserved: Bytes::ZERO,
            close,
        }
    }
}
