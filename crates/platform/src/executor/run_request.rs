use serde::{Deserialize, Serialize};

/// Body of `POST /run`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunRequest {
    /// Id of the request; the executor doesn't detect duplicates.
    pub request: String,
    /// Input of the service.
    pub payload: String,
}
