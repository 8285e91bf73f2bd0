use crate::run::Run;

/// Which running work yields to a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Precedence {
    /// Work of queues behind this rank that saves its progress.
    Over(u32),
    /// None. The step misses its objective in any case, and the work that it would stop may still meet its own.
    Nothing,
}

impl Precedence {
    /// Tells whether a run yields.
    pub(super) fn displaces(self, run: &Run) -> bool {
        match self {
            Self::Over(rank) => run.is_preemptible_by(rank),
            Self::Nothing => false,
        }
    }
}
