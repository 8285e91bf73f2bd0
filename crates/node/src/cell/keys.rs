use lagoon_jobs::id::{ExecutorId, JobId, MemberId};
use lagoon_jobs::record::RecordLane;

/// Keys of the state of the cell in the store.
#[derive(Debug)]
pub(crate) struct Keys;

impl Keys {
    /// Prefix that all members watch.
    pub(crate) const CELL: &str = "lagoon/cell/";
    /// The owner's entry, under its lease.
    pub(crate) const OWNER: &str = "lagoon/cell/owner";
    /// Prefix of the members' entries, each under the lease of its member.
    pub(crate) const MEMBERS: &str = "lagoon/cell/member/";
    /// Prefix of the heads of the record lanes. A head has the epoch of the owner and the number of its last write in the
    /// lane, and every write of the owner is conditional on it.
    pub(crate) const HEADS: &str = "lagoon/head/";
    /// Prefix of the records of executors that owners have used.
    pub(crate) const EXECUTORS: &str = "lagoon/executor/";
    /// Prefix of accepted jobs and of their cancellations.
    pub(crate) const JOBS: &str = "lagoon/job/";
    /// Prefix of the progress of jobs.
    pub(crate) const PROGRESS: &str = "lagoon/progress/";
    const CANCELLED: &str = ".cancelled";

    pub(crate) fn member(member: &MemberId) -> String {
        format!("{}{member}", Self::MEMBERS)
    }

    pub(crate) fn head(lane: RecordLane) -> String {
        format!("{}{lane}", Self::HEADS)
    }

    pub(crate) fn executor(id: &ExecutorId) -> String {
        format!("{}{id}", Self::EXECUTORS)
    }

    pub(crate) fn job(id: JobId) -> String {
        format!("{}{id}", Self::JOBS)
    }

    pub(crate) fn cancelled(id: JobId) -> String {
        format!("{}{id}{}", Self::JOBS, Self::CANCELLED)
    }

    pub(crate) fn progress(id: JobId) -> String {
        format!("{}{id}", Self::PROGRESS)
    }

    /// Parses a key under [`Self::JOBS`]. Returns the job, and true if the key is that of its cancellation.
    pub(crate) fn parse_job(key: &str) -> Option<(JobId, bool)> {
        let rest = key.strip_prefix(Self::JOBS)?;
        match rest.strip_suffix(Self::CANCELLED) {
            Some(id) => Some((id.parse().ok()?, true)),
            None => Some((rest.parse().ok()?, false)),
        }
    }

    /// Parses a key under [`Self::PROGRESS`].
    pub(crate) fn parse_progress(key: &str) -> Option<JobId> {
        key.strip_prefix(Self::PROGRESS)?.parse().ok()
    }
}
