use lagoon_core::id::ExecutorId;

/// Settings of one fake executor.
#[derive(Debug, Clone)]
pub struct ExecutorSettings {
    /// Id of the executor.
    pub executor: ExecutorId,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}
