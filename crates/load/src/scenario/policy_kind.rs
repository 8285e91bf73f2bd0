use std::fmt;

/// Policy under test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PolicyKind {
    /// The real shard.
    Shard,
    /// First come, first served, with first-fit placement.
    Baseline,
}

impl PolicyKind {
    pub(crate) const ALL: [Self; 2] = [Self::Shard, Self::Baseline];
}

impl fmt::Display for PolicyKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Shard => "shard",
            Self::Baseline => "baseline",
        })
    }
}
