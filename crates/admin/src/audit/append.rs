use lagoon_core::Refusal;
use tokio::sync::oneshot;

use crate::audit::Record;

/// A record on its way to the store.
#[derive(Debug)]
pub(super) struct Append {
    pub(super) record: Record,
    /// Latest record of the command that the sender knows. A record that must be written before something takes effect
    /// is refused if there is another one by now; `None` for a record that may wait for the store.
    pub(super) after: Option<Option<Record>>,
    /// Tells whether the record is in the store; absent once the sender was answered.
    pub(super) reply: Option<oneshot::Sender<Result<bool, Refusal>>>,
}

impl Append {
    pub(super) fn answer(self, answer: Result<bool, Refusal>) {
        if let Some(reply) = self.reply {
            // The sender may have given up; the record is handled all the same.
            let _ = reply.send(answer);
        }
    }
}
