use std::fmt;

use crate::code::ResultCode;
use crate::id::WorkerId;
use crate::unit::Resources;

/// Error: an allocation exceeds the worker's unreserved capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CapacityExceeded {
    /// Worker that the resources were to be allocated on.
    pub worker: WorkerId,
    /// Requested resources.
    pub need: Resources,
    /// Unreserved capacity; zero for an unknown worker.
    pub unreserved: Resources,
}

impl CapacityExceeded {
    /// Returns the result code.
    pub const fn code(&self) -> ResultCode {
        ResultCode::CapacityInvariant
    }
}

impl fmt::Display for CapacityExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "worker {} cannot hold {}: {} unreserved",
            self.worker, self.need, self.unreserved
        )
    }
}

impl std::error::Error for CapacityExceeded {}
