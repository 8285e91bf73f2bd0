use std::sync::{Mutex, PoisonError};

/// Ends of the logs of children that have ended in the running test.
static LOGS: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Keeps the end of a log until the test is over.
pub(crate) fn keep_log(text: String) {
    LOGS.lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(text);
}

/// Prints the logs of all children when a test has failed. A test that returns an error has reaped its children before
/// it panics, so that they can't print their logs by themselves.
#[derive(Debug)]
pub(crate) struct EndedLogs;

impl Drop for EndedLogs {
    fn drop(&mut self) {
        let logs = std::mem::take(&mut *LOGS.lock().unwrap_or_else(PoisonError::into_inner));
        if std::thread::panicking() {
            for log in logs {
                eprintln!("{log}");
            }
        }
    }
}
