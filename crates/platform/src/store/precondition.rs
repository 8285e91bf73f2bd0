/// What a write expects of the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The key doesn't exist.
    Absent,
    /// The key has this version.
    Version(u64),
    /// Nothing.
    Any,
}

impl Precondition {
    /// Returns the number used in messages; zero stands for a key that doesn't exist.
    pub const fn to_wire(self) -> Option<u64> {
        match self {
            Self::Absent => Some(0),
            Self::Version(version) => Some(version),
            Self::Any => None,
        }
    }

    /// Reads the number used in messages.
    pub const fn from_wire(expect: Option<u64>) -> Self {
        match expect {
            Some(0) => Self::Absent,
            Some(version) => Self::Version(version),
            None => Self::Any,
        }
    }

    /// Tells whether a key with version `current` meets the expectation.
    pub fn is_met_by(self, current: Option<u64>) -> bool {
        match self {
            Self::Absent => current.is_none(),
            Self::Version(version) => current == Some(version),
            Self::Any => true,
        }
    }
}
