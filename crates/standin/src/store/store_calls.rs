use serde::{Deserialize, Serialize};

/// Number of calls by kind, as returned by `GET /calls`. Includes refused calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCalls {
    /// Reads of a single key.
    pub get: u64,
    /// Reads of a prefix.
    pub list: u64,
    /// Long polls.
    pub watch: u64,
    /// Writes.
    pub put: u64,
    /// Deletions.
    pub delete: u64,
    /// Lease grants.
    pub grant_lease: u64,
    /// Lease renewals.
    pub keep_alive: u64,
    /// Writes and deletions whose precondition was not met.
    pub conflicts: u64,
    /// Calls that exceeded a rate limit.
    pub limited: u64,
}
