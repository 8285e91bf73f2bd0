use lagoon_core::id::ExecutorId;

/// Settings of one fake executor.
#[derive(Debug, Clone)]
pub struct ExecutorSettings {
    /// Its name.
    pub executor: ExecutorId,
    /// Requests that it runs at a time.
    pub slots: u32,
}
