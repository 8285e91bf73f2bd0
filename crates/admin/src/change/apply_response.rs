use lagoon_core::id::CommandId;
use serde::Serialize;

use crate::audit::Record;

/// JSON response to an apply that took effect.
#[derive(Debug, Serialize)]
pub(crate) struct ApplyResponse {
    /// Id of the command.
    command_id: CommandId,
    /// Canonical text of the command.
    text: String,
    /// Number of items changed.
    changed: u64,
    /// Shards that did not apply the change, with the reason.
    failed: Vec<String>,
    /// Versions that the command was based on.
    before: String,
    /// Versions that the command created.
    after: String,
    /// False if the audit record is still waiting for the store.
    recorded: bool,
    /// True if this is the result of an earlier apply with the same command id.
    repeated: bool,
}

impl ApplyResponse {
    pub(super) fn new(
        record: Record,
        changed: u64,
        failed: Vec<String>,
        recorded: bool,
        repeated: bool,
    ) -> Self {
        Self {
            command_id: record.command,
            text: record.text,
            changed,
            failed,
            before: record.before,
            after: record.after,
            recorded,
            repeated,
        }
    }
}
