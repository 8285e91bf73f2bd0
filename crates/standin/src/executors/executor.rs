use std::collections::BTreeMap;
use std::sync::Mutex;

/// State of an executor under its own lock.
#[derive(Debug)]
pub(crate) struct Executor {
    pub(crate) slots: u32,
    pub(crate) state: Mutex<ExecutorState>,
}

/// Requests of an executor.
#[derive(Debug, Default)]
pub(crate) struct ExecutorState {
    pub(crate) in_use: u32,
    /// How often each request ran.
    pub(crate) runs: BTreeMap<String, u32>,
    /// How often each payload ran, under the beginning of its text.
    pub(crate) payloads: BTreeMap<String, u32>,
}
