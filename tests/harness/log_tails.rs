use std::sync::{Mutex, PoisonError};

/// Last lines of the logs of processes that have exited during the current test.
static LOGS: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Keeps the last lines of a log until the end of the test.
pub(crate) fn keep_log_tail(text: String) {
    LOGS.lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(text);
}

/// Prints the kept logs on drop if the test failed. A test that returns an error drops its processes before the panic,
/// so `Child` itself can't tell whether to print its log.
#[derive(Debug)]
pub(crate) struct LogTails;

impl Drop for LogTails {
    fn drop(&mut self) {
        let logs = std::mem::take(&mut *LOGS.lock().unwrap_or_else(PoisonError::into_inner));
        if std::thread::panicking() {
            for log in logs {
                eprintln!("{log}");
            }
        }
    }
}
