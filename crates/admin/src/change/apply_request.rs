use lagoon_core::id::CommandId;
use serde::Deserialize;

use crate::change::Confirmation;

/// Body of `POST /v1/apply`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ApplyRequest {
    /// The command.
    pub(crate) text: String,
    /// Code of its preview.
    pub(crate) confirmation: Confirmation,
    /// Id that a repeat uses again.
    pub(crate) command_id: CommandId,
    /// Number of touched things, needed above the limit.
    #[serde(default)]
    pub(crate) count: Option<u64>,
}
