use tokio::time::Instant;

/// One run of a task on an executor.
#[derive(Debug, Clone)]
pub struct RunRecord {
    /// The task, as it is named in orders.
    pub task: String,
    /// Number of the run.
    pub run: u64,
    /// The executor.
    pub executor: String,
    /// When it began.
    pub started_at: Instant,
    /// When and how it ended; `None` while it runs.
    pub ended: Option<(Instant, &'static str)>,
}
