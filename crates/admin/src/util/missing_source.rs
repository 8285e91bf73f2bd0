use serde::Serialize;

/// A source that did not respond, so that a response is incomplete.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(crate) struct MissingSource {
    /// Address of a process, a shard, or `store`.
    pub(crate) source: String,
    /// Why its data is missing.
    pub(crate) reason: String,
}

impl MissingSource {
    pub(crate) fn new(source: impl ToString, reason: impl ToString) -> Self {
        Self {
            source: source.to_string(),
            reason: reason.to_string(),
        }
    }
}
