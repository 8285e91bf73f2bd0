use tokio::time::Instant;

/// One run of a task on an executor.
#[derive(Debug, Clone)]
pub struct RunRecord {
    /// Name of the task, as in requests to the executor.
    pub task: String,
    /// Number of the run.
    pub run: u64,
    /// Executor that ran the task.
    pub executor: String,
    /// Start of the run.
    pub started_at: Instant,
    /// Time and outcome of the end; `None` while the task is running.
    pub ended: Option<(Instant, &'static str)>,
}
