/// Phase of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskPhase {
    /// It waits to be started.
    Pending,
    /// A run of it exists or may exist.
    Active,
    /// It completed.
    Done,
}
