/// How far the handover of a shard to a successor has come at its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HandOverStep {
    /// None is under way.
    None,
    /// No new work is accepted; requests that were sent go on.
    Draining,
    /// The leases on workers are given up.
    Released,
    /// The tickets were exported. A successor may claim the shard at any moment.
    Exported,
    /// The handover failed; the shard is served again once the store confirms that nobody claimed it.
    Resuming,
}
