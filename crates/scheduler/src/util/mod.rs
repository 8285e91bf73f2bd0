//! Types and limits used by several modules.

/// Error of an operation whose cause is only reported, not matched on.
pub(crate) type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Largest handover message: the retained answers of a ticket table (64 MiB), escaped as JSON, and its tickets.
pub(crate) const MAX_HAND_OVER_BYTES: usize = 256 << 20;
