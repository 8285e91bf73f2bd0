use std::fmt;

/// State of a host as far as placement is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostState {
    /// Takes new work.
    Live,
    /// Marked as leaving in the list, or missing from it: no new work.
    Leaving,
    /// Drained by an operator: no new work.
    Drained,
    /// Confirmed dead by an operator: nothing runs there.
    Dead,
}

impl fmt::Display for HostState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Live => "live",
            Self::Leaving => "leaving",
            Self::Drained => "drained",
            Self::Dead => "dead",
        })
    }
}
