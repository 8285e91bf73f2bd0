/// Condition on the key under which a write is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The key doesn't exist.
    Absent,
    /// The key has this version.
    Version(u64),
    /// The write is unconditional.
    Any,
}

impl Precondition {
    /// Returns the version to send; zero stands for a key that doesn't exist, `None` for no condition.
    pub const fn to_wire(self) -> Option<u64> {
        match self {
            Self::Absent => Some(0),
            Self::Version(version) => Some(version),
            Self::Any => None,
        }
    }

    /// Returns the precondition for a received version. The inverse of [`to_wire`](Self::to_wire).
    pub const fn from_wire(expect: Option<u64>) -> Self {
        match expect {
            Some(0) => Self::Absent,
            Some(version) => Self::Version(version),
            None => Self::Any,
        }
    }

    /// Returns true if a key with version `current` meets the precondition.
    pub fn is_met_by(self, current: Option<u64>) -> bool {
        match self {
            Self::Absent => current.is_none(),
            Self::Version(version) => current == Some(version),
            Self::Any => true,
        }
    }
}
