use crate::run::Run;

/// Which running work yields to a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Preemption {
    /// Work of queues behind this rank that saves its progress.
    RankedBelow(u32),
    /// None. The step misses its objective in any case, and the work that it would stop may still meet its own.
    Never,
}

impl Preemption {
    /// Tells whether a run yields.
    pub(super) fn preempts(self, run: &Run) -> bool {
        match self {
            Self::RankedBelow(rank) => run.yields_to(rank),
            Self::Never => false,
        }
    }
}
