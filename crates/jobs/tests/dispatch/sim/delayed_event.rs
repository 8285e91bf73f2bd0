use lagoon_jobs::dispatch::{AdviceRequest, StartRequest};
use lagoon_jobs::id::Epoch;

/// Something that takes effect later.
pub(super) enum DelayedEvent {
    /// An order to start that an executor holds back takes effect, unless that life of it has ended: its process held
    /// the order, and the connection ended with the process.
    Start(u64, StartRequest),
    /// The wait for the answer to an order to start is over.
    StartTimeout(Epoch, StartRequest),
    /// The adviser answers, or a question turns out to have no answer.
    Advice(Epoch, AdviceRequest, bool),
}
