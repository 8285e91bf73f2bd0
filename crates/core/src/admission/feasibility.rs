use std::fmt;

/// Whether the known hosts could ever hold a piece of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Feasibility {
    /// The known hosts could hold it.
    Fits,
    /// All hosts are known, and they could not hold it.
    NeverFits,
    /// Undecided: some hosts are not known yet, or hosts of other shards could hold it.
    Unknown,
}

impl fmt::Display for Feasibility {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Fits => "fits",
            Self::NeverFits => "never_fits",
            Self::Unknown => "unknown",
        })
    }
}
