use crate::id::Incarnation;

/// What a list or a registry entry says about the incarnation of an executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdentityChange {
    /// The incarnation is the current one, or none is named.
    Unchanged,
    /// It is the first that is named.
    First,
    /// The executor has restarted; all processes before the new one have ended.
    Restarted {
        /// Incarnation that was current before.
        earlier: Incarnation,
    },
    /// It is an earlier one, which the current one has replaced.
    Outdated,
}
