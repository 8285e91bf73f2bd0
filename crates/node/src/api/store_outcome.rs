use lagoon_adapter::store::Revision;
use lagoon_platform::PlatformError;

/// Outcome of an attempt to store a job.
#[derive(Debug, Clone)]
pub(crate) enum StoreOutcome {
    /// The job was stored at this revision with this value.
    Stored(Revision, Vec<u8>),
    /// The job had been stored before, and may have ended.
    AlreadyStored,
    /// The job is not stored and never will be, because its cancellation is.
    Cancelled,
    /// The job was not stored.
    NotStored(PlatformError),
    /// The job was not stored, because the owner changed during every attempt.
    Contended,
    /// The job may have been stored.
    Unknown(PlatformError),
}
