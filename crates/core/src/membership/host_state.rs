use std::fmt;

/// State of a host for placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostState {
    /// Accepts new work.
    Live,
    /// Marked as leaving in the host list, or missing from it; accepts no new work.
    Leaving,
    /// Drained by an operator; accepts no new work.
    Drained,
    /// Confirmed dead by an operator; nothing runs there.
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
