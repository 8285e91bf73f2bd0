use serde::{Deserialize, Serialize};

/// Counts of calls by kind, as in `GET /calls`. Refused calls count as well.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCalls {
    /// Reads of one key.
    pub get: u64,
    /// Reads of a prefix.
    pub list: u64,
    /// Long polls.
    pub watch: u64,
    /// Writes.
    pub put: u64,
    /// Deletions.
    pub delete: u64,
    /// New leases.
    pub grant_lease: u64,
    /// Renewals of leases.
    pub keep_alive: u64,
    /// Writes and deletions whose expectation was not met.
    pub conflicts: u64,
    /// Calls refused by a rate limit.
    pub limited: u64,
}
