use lagoon_core::Refusal;
use tokio::sync::oneshot;

use crate::audit::Record;

/// A record to append to the trail.
#[derive(Debug)]
pub(super) struct AppendRequest {
    pub(super) record: Record,
    /// Latest record of the command that the sender has seen. A record that must be written before its command takes
    /// effect is refused if the trail has another latest record. `None` for a record that may wait for the store.
    pub(super) after: Option<Option<Record>>,
    /// Receives whether the record is in the store. `None` once the sender has been answered.
    pub(super) reply: Option<oneshot::Sender<Result<bool, Refusal>>>,
}

impl AppendRequest {
    pub(super) fn respond(self, response: Result<bool, Refusal>) {
        if let Some(reply) = self.reply {
            // The sender may have stopped waiting; the record is written regardless.
            let _ = reply.send(response);
        }
    }
}
