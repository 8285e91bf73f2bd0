/// Why a shard holds the lease of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WorkerAssignment {
    /// This shard is the worker's home.
    Home,
    /// The home shard has no owner, and the store is unavailable.
    Adopted,
    /// The worker is no longer adopted; outstanding requests at its executors continue.
    Returned,
}
