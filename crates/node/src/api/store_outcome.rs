use lagoon_adapter::store::Revision;
use lagoon_platform::PlatformError;

/// What became of a job that was to be stored.
#[derive(Debug, Clone)]
pub(crate) enum StoreOutcome {
    /// It is stored now, with this value.
    Stored(Revision, Vec<u8>),
    /// It was stored before, or it has ended.
    AlreadyStored,
    /// It is not stored.
    NotStored(PlatformError),
    /// It is not stored, because the cell changed hands again and again.
    Contended,
    /// It may be stored.
    Unknown(PlatformError),
}
