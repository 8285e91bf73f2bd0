//! Small helpers.

/// Error of a step whose cause is only reported.
pub(crate) type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Largest message of a handover: the kept answers of a ticket table (64 MiB), escaped as JSON, and its tickets.
pub(crate) const MAX_HAND_OVER_BYTES: usize = 256 << 20;
