/// Effect of a grant on the state that the holder has for the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseChange {
    /// First grant, or a grant at a higher epoch. The holder must read the full inventory.
    New,
    /// Renewal of the current lease.
    Renewed,
    /// The worker has a new incarnation, so its earlier tasks no longer exist.
    Restarted,
}
