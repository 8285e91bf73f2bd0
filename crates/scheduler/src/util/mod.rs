//! Small helpers.

/// Error of a step whose cause is only reported.
pub(crate) type BoxError = Box<dyn std::error::Error + Send + Sync>;
