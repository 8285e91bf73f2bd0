use lagoon_core::id::CommandId;
use serde::Serialize;

use crate::audit::Record;

/// JSON answer to an apply that took effect.
#[derive(Debug, Serialize)]
pub(crate) struct Applied {
    /// Id of the command.
    command_id: CommandId,
    /// Canonical text.
    text: String,
    /// Number of things that changed.
    changed: u64,
    /// Shards that did not make the change.
    failed: Vec<String>,
    /// Versions that the command was based on.
    before: String,
    /// Versions that it made.
    after: String,
    /// False while the audit record waits for the store.
    recorded: bool,
    /// True if this is the result of an earlier apply with the same id.
    repeated: bool,
}

impl Applied {
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
