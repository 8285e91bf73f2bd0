use std::fmt;

/// Whether the known hosts could ever hold a piece of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Feasibility {
    /// They could.
    Fits,
    /// They could not, and all hosts are known.
    NeverFits,
    /// Not all hosts are known yet.
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
