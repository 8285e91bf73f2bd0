use std::fmt;

/// What a command does with pieces of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WorkAction {
    /// Ends it.
    Cancel,
    /// Keeps waiting work from starting.
    Hold,
    /// Lets held work start again.
    Release,
}

impl WorkAction {
    /// Every value.
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
