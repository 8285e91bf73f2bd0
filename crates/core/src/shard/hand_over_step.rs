/// Progress of a handover at the current owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HandOverStep {
    /// No handover is in progress.
    None,
    /// New work is refused; outstanding requests continue.
    Draining,
    /// The worker leases are released.
    Released,
    /// The tickets were exported. A successor may claim the shard at any time.
    Exported,
    /// The handover failed; the shard serves again once the store confirms that no successor has claimed it.
    Resuming,
}
