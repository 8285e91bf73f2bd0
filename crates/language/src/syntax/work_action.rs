use std::fmt;

/// Action that a command applies to work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WorkAction {
    /// Cancels work.
    Cancel,
    /// Prevents waiting work from starting.
    Hold,
    /// Allows held work to start again.
    Release,
}

impl WorkAction {
    /// All actions.
    pub const ALL: &[Self] = &[Self::Cancel, Self::Hold, Self::Release];

    /// Returns the keyword.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Cancel => "cancel",
            Self::Hold => "hold",
            Self::Release => "release",
        }
    }
}

impl fmt::Display for WorkAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
