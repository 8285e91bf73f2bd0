use lagoon_adapter::store::Revision;
use lagoon_jobs::id::JobId;
use lagoon_jobs::record::RecordNumber;
use smallvec::SmallVec;

/// Jobs whose progress one write holds.
pub(super) type WrittenJobs = Vec<(JobId, RecordNumber)>;

/// Attempts that are remembered. Those without an answer take effect within 12 s or not at all, and one takes 1.3 s; the jobs of
/// one that is not remembered are written again.
const MAX_UNANSWERED: usize = 10;

/// Where a lane of records stands in the store.
#[derive(Debug, Clone)]
pub(super) struct LaneState {
    /// Last known change of the lane's head, the condition of the next write.
    pub(super) revision: Revision,
    /// Number of the last attempt to write.
    attempt: u64,
    /// Attempts on the condition of `revision` that were not answered. At most one of them takes effect.
    unanswered: SmallVec<[(u64, WrittenJobs); 4]>,
}

impl LaneState {
    pub(super) fn new(revision: Revision) -> Self {
        Self {
            revision,
            attempt: 0,
            unanswered: SmallVec::new(),
        }
    }

    /// Returns the number of the next attempt.
    pub(super) fn next_attempt(&mut self) -> u64 {
        self.attempt += 1;
        self.attempt
    }

    /// Notes that an attempt was not answered and may take effect.
    pub(super) fn record_unanswered(&mut self, attempt: u64, jobs: WrittenJobs) {
        if self.unanswered.len() == MAX_UNANSWERED {
            self.unanswered.remove(0);
        }
        self.unanswered.push((attempt, jobs));
    }

    /// Moves to a later change of the head, made by an attempt; returns the jobs of that attempt if it was not answered.
    pub(super) fn advance(&mut self, revision: Revision, attempt: u64) -> WrittenJobs {
        self.revision = revision;
        let unanswered = std::mem::take(&mut self.unanswered);
        let mut applied = unanswered
            .into_iter()
            .filter(|(number, _)| *number == attempt);
        applied.next().map(|(_, jobs)| jobs).unwrap_or_default()
    }
}
