use lagoon_core::id::{CallerId, CommandId, ProcessId};
use serde::{Deserialize, Serialize};

use crate::audit::{ChangeResult, PolicyMark, RecordTime};

/// One entry of the audit trail. A later entry with the same command replaces an earlier one when the trail is shown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Record {
    /// Id of the command.
    pub(crate) command: CommandId,
    /// Who sent it.
    pub(crate) operator: CallerId,
    /// Admin process that handled it.
    pub(crate) process: ProcessId,
    /// When.
    pub(crate) at: RecordTime,
    /// Canonical text.
    pub(crate) text: String,
    /// What it was expected to touch.
    pub(crate) preview: String,
    /// Versions that it was based on.
    pub(crate) before: String,
    /// Versions that it made; empty if there are none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub(crate) after: String,
    /// Policy that it writes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) policy: Option<PolicyMark>,
    /// What came of it.
    pub(crate) result: ChangeResult,
    /// Written after an outage of the store, later than the command took effect.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(crate) late: bool,
}

impl Record {
    /// Tells whether both describe the same event, whenever they were written.
    pub(super) fn is_same_event(&self, other: &Self) -> bool {
        let on_time = |record: &Self| Self {
            late: false,
            ..record.clone()
        };
        self.command == other.command && on_time(self) == on_time(other)
    }
}
