use lagoon_core::id::CommandId;
use serde::Deserialize;

use crate::change::Confirmation;

/// Body of `POST /v1/apply`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ApplyRequest {
    /// Text of the command.
    pub(crate) text: String,
    /// Confirmation code of the preview.
    pub(crate) confirmation: Confirmation,
    /// Idempotency id; a repeat uses the same one.
    pub(crate) command_id: CommandId,
    /// Number of affected items; required above the limit.
    #[serde(default)]
    pub(crate) count: Option<u64>,
}
