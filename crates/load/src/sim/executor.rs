use lagoon_core::id::WorkerId;

/// An executor that runs requests in virtual time.
#[derive(Debug)]
pub(crate) struct Executor {
    pub(crate) worker: WorkerId,
    pub(crate) slots: u32,
    pub(crate) in_use: u32,
}
