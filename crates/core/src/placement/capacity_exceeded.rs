use std::fmt;

use crate::code::ResultCode;
use crate::id::WorkerId;
use crate::unit::Resources;

/// A claim that the worker's capacity can't hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CapacityExceeded {
    /// The worker.
    pub worker: WorkerId,
    /// Resources asked for.
    pub need: Resources,
    /// Resources that are not reserved; zero for an unknown worker.
    pub unreserved: Resources,
}

impl CapacityExceeded {
    /// Returns the numbered code.
    pub const fn code(&self) -> ResultCode {
        ResultCode::CapacityInvariant
    }
}

impl fmt::Display for CapacityExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "worker {} can't hold {}: {} not reserved",
            self.worker, self.need, self.unreserved
        )
    }
}

impl std::error::Error for CapacityExceeded {}
