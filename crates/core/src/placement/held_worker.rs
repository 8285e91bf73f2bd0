use crate::unit::Resources;

/// A worker that takes no other work until the gang job that it is held for starts.
#[derive(Debug)]
pub(super) struct HeldWorker {
    pub(super) slot: u32,
    /// Number of tasks that it is planned to take.
    pub(super) planned_tasks: u64,
    /// Free resources when it was held or last planned.
    pub(super) free: Resources,
}
