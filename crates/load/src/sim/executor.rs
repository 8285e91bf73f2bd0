use lagoon_core::id::WorkerId;

/// A simulated executor.
#[derive(Debug)]
pub(crate) struct Executor {
    pub(crate) worker: WorkerId,
    pub(crate) slots: u32,
    pub(crate) in_use: u32,
}
