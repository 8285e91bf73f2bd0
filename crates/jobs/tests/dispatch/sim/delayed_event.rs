use lagoon_jobs::dispatch::{AdviceRequest, StartRequest};
use lagoon_jobs::id::Epoch;

use super::sim_connection::SimConnection;

/// An event that takes effect after a delay.
pub(super) enum DelayedEvent {
    /// An executor handles a delayed start request, unless that incarnation has ended: the request was in its process,
    /// and the connection ended with the process.
    Start(u64, StartRequest),
    /// A start request that was sent on a kept connection, or on a new one, times out.
    StartTimeout(Epoch, StartRequest, Option<SimConnection>),
    /// An executor that has restarted writes its entry.
    Entry(usize),
    /// The adviser answers, or a request to it times out.
    Advice(Epoch, AdviceRequest, bool),
}
