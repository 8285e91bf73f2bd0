/// What a grant means for the holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseChange {
    /// First grant, or a grant under a higher epoch: read the full inventory.
    New,
    /// The same lease, renewed.
    Renewed,
    /// The worker was restarted and its tasks are gone.
    Restarted,
}
