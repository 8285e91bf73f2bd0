use lagoon_core::id::{CallerId, CommandId, ProcessId};
use serde::{Deserialize, Serialize};

use crate::audit::{ChangeResult, PolicyFingerprint, RecordTime};

/// An entry of the audit trail. When the trail is displayed, only the last entry of each command is shown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Record {
    /// Id of the command.
    pub(crate) command: CommandId,
    /// Operator who sent the command.
    pub(crate) operator: CallerId,
    /// Admin process that handled it.
    pub(crate) process: ProcessId,
    /// Time of the record.
    pub(crate) at: RecordTime,
    /// Canonical text of the command.
    pub(crate) text: String,
    /// Summary of the expected effect.
    pub(crate) preview: String,
    /// Versions that the command was based on.
    pub(crate) before: String,
    /// Versions that the command created; empty if there are none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub(crate) after: String,
    /// Policy document that the command writes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) policy: Option<PolicyFingerprint>,
    /// Result of the command.
    pub(crate) result: ChangeResult,
    /// True if the record was delayed by a store outage and written after the command took effect.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(crate) late: bool,
}

impl Record {
    /// Returns true if both records describe the same event, regardless of `late`.
    pub(super) fn is_same_event(&self, other: &Self) -> bool {
        let on_time = |record: &Self| Self {
            late: false,
            ..record.clone()
        };
        self.command == other.command && on_time(self) == on_time(other)
    }
}
