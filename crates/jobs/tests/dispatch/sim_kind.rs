//! Kinds of simulated executors.

use lagoon_jobs::id::Label;

/// Kind of an incarnation of an executor, the first of its labels.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SimKind {
    A,
    B,
}

impl SimKind {
    pub(crate) fn label(self) -> Label {
        let label = match self {
            Self::A => "a",
            Self::B => "b",
        };
        label.parse().unwrap()
    }

    pub(crate) fn other(self) -> Self {
        match self {
            Self::A => Self::B,
            Self::B => Self::A,
        }
    }
}
