use crate::unit::Resources;

/// A worker that takes no new work until a gang job starts.
#[derive(Debug)]
pub(super) struct HeldWorker {
    pub(super) slot: u32,
    /// Members that it is expected to take.
    pub(super) planned: u64,
    /// Free resources when it was held or last renewed.
    pub(super) free: Resources,
}
