/// Kind of the items that a command affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ItemKind {
    PolicyValue,
    Host,
    Work,
    Shard,
}

impl ItemKind {
    /// Formats a count with the name of the kind, such as `3 hosts`.
    pub(super) fn format_count(self, count: u64) -> String {
        let (one, many) = match self {
            Self::PolicyValue => ("policy value", "policy values"),
            Self::Host => ("host", "hosts"),
            Self::Work => ("piece of work", "pieces of work"),
            Self::Shard => ("shard", "shards"),
        };
        format!("{count} {}", if count == 1 { one } else { many })
    }
}
