/// Kind of the things that a command touches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Unit {
    PolicyValue,
    Host,
    Work,
    Shard,
}

impl Unit {
    /// Returns a count with the name of what is counted.
    pub(super) fn count(self, count: u64) -> String {
        let (one, many) = match self {
            Self::PolicyValue => ("policy value", "policy values"),
            Self::Host => ("host", "hosts"),
            Self::Work => ("piece of work", "pieces of work"),
            Self::Shard => ("shard", "shards"),
        };
        format!("{count} {}", if count == 1 { one } else { many })
    }
}
