use crate::run::Run;

/// Which runs a step may preempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Preemption {
    /// Runs of queues that rank after this one, if they save their progress.
    RankedBelow(u32),
    /// None: the step misses its objective in any case, and the runs that it would stop may still meet theirs.
    Never,
}

impl Preemption {
    /// Returns true if a run may be preempted.
    pub(super) fn preempts(self, run: &Run) -> bool {
        match self {
            Self::RankedBelow(rank) => run.is_preemptible_by(rank),
            Self::Never => false,
        }
    }
}
