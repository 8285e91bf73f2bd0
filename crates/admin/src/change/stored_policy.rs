use lagoon_core::policy::Policy;
use lagoon_platform::store::Precondition;

/// The policy as the store has it.
#[derive(Debug, Clone)]
pub(crate) struct StoredPolicy {
    pub(crate) policy: Policy,
    /// What the next write expects of the key.
    pub(super) expect: Precondition,
}
