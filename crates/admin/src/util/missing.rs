use serde::Serialize;

/// Something that did not answer, so that an answer lacks its part.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(crate) struct Missing {
    /// Address of a process, a shard, or `store`.
    pub(crate) source: String,
    /// What went wrong.
    pub(crate) reason: String,
}

impl Missing {
    pub(crate) fn new(source: impl ToString, reason: impl ToString) -> Self {
        Self {
            source: source.to_string(),
            reason: reason.to_string(),
        }
    }
}
