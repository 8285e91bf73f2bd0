use std::collections::BTreeMap;
use std::sync::Mutex;

/// A fake executor, with its state under its own lock.
#[derive(Debug)]
pub(crate) struct Executor {
    pub(crate) slots: u32,
    pub(crate) state: Mutex<ExecutorState>,
}

/// Running and past requests of an executor.
#[derive(Debug, Default)]
pub(crate) struct ExecutorState {
    pub(crate) in_use: u32,
    /// Number of runs by request.
    pub(crate) runs: BTreeMap<String, u32>,
    /// Number of runs by prefix of the payload.
    pub(crate) payloads: BTreeMap<String, u32>,
}
