use serde::Deserialize;

/// Body of `POST /v1/query` and `POST /v1/preview`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct StatementRequest {
    /// Text of the statement.
    pub(crate) text: String,
}
