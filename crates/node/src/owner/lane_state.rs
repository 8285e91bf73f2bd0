use lagoon_adapter::store::Revision;
use lagoon_jobs::id::JobId;
use lagoon_jobs::record::RecordNumber;
use smallvec::SmallVec;

/// Jobs whose progress a write contains, with the numbers of their records.
pub(super) type WrittenJobs = Vec<(JobId, RecordNumber)>;

/// Largest number of unanswered attempts that are kept. They take effect within 12 s or never, and one attempt takes 1.3 s;
/// the jobs of an attempt that is dropped are written again.
const MAX_UNANSWERED: usize = 10;

/// State of a record lane in the store.
#[derive(Debug, Clone)]
pub(super) struct LaneState {
    /// Last known revision of the lane's head, the condition of the next write.
    pub(super) revision: Revision,
    /// Number of the last attempt.
    attempt: u64,
    /// Unanswered attempts that are conditional on `revision`. At most one of them takes effect.
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

    /// Records an attempt that was not answered and may still take effect.
    pub(super) fn record_unanswered(&mut self, attempt: u64, jobs: WrittenJobs) {
        if self.unanswered.len() == MAX_UNANSWERED {
            self.unanswered.remove(0);
        }
        self.unanswered.push((attempt, jobs));
    }

    /// Sets the revision of the head after a write of the attempt; returns the jobs of the attempt if it was unanswered.
    pub(super) fn advance(&mut self, revision: Revision, attempt: u64) -> WrittenJobs {
        self.revision = revision;
        let unanswered = std::mem::take(&mut self.unanswered);
        let mut applied = unanswered
            .into_iter()
            .filter(|(number, _)| *number == attempt);
        applied.next().map(|(_, jobs)| jobs).unwrap_or_default()
    }
}
