use std::future::Future;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crate::harness::log_tails::LogTails;

pub(crate) type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Far above the run time of any test, so that tests pass on a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(120);

/// Held by the current test: concurrent clusters would compete for processors and miss heartbeats.
static TEST_LOCK: Mutex<()> = Mutex::new(());

/// Runs the body of a test exclusively among the tests of this binary.
pub(crate) fn run<F: Future<Output = Result<(), BoxError>>>(body: F) {
    let _guard = TEST_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let _logs = LogTails;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("the runtime starts");
    let outcome = runtime.block_on(async { tokio::time::timeout(TEST_TIMEOUT, body).await });
    match outcome {
        Ok(Ok(())) => {}
        Ok(Err(e)) => panic!("{e}"),
        Err(_) => panic!("the test did not finish within {TEST_TIMEOUT:?}"),
    }
}
