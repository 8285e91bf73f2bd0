use crate::run::Listing;

/// What came of renewing the lease of an executor's runs.
#[derive(Debug, Clone)]
pub enum HoldOutcome {
    /// The executor lists its runs and ends.
    Listed(Listing),
    /// The executor has seen a later owner.
    Fenced,
    /// Another executor has the address, so the one that had it before is gone.
    OtherExecutor,
}
