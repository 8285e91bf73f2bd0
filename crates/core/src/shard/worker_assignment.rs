/// Why a shard holds the lease of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WorkerAssignment {
    /// The worker's home is this shard.
    Home,
    /// The home shard has no owner, and the store is out of reach.
    Adopted,
    /// The worker is adopted no more; requests that were sent to its executors go on.
    Returned,
}
