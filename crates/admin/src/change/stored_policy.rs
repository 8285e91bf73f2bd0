use lagoon_core::policy::Policy;
use lagoon_platform::store::Precondition;

/// The policy in the store, with its version there.
#[derive(Debug, Clone)]
pub(crate) struct StoredPolicy {
    pub(crate) policy: Policy,
    /// Precondition of the write that replaces it.
    pub(super) precondition: Precondition,
}
