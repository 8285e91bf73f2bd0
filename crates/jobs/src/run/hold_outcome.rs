use crate::run::Listing;

/// Outcome of a hold, the call that renews the lease of an executor's runs.
#[derive(Debug, Clone)]
pub enum HoldOutcome {
    /// The executor answered with its active and ended runs.
    Listed(Listing),
    /// The executor has seen a later owner.
    Fenced,
    /// Another executor answered at the address, so the one that had it before is gone.
    OtherExecutor,
}
