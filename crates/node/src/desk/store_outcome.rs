use lagoon_adapter::store::Revision;
use lagoon_platform::PlatformError;

/// What became of a job that was to be stored.
#[derive(Debug, Clone)]
pub(crate) enum Stored {
    /// It is stored now, with this value.
    Now(Revision, Vec<u8>),
    /// It was stored before, or it has ended.
    Before,
    /// It is not stored.
    Not(PlatformError),
    /// It is not stored, because the cell changed hands again and again.
    Contended,
    /// It may be stored.
    Unknown(PlatformError),
}
