use std::future::Future;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crate::harness::ended_logs::EndedLogs;

pub(crate) type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Time after which a test counts as stuck. Far above what a test needs, so that a busy machine fails none.
const OVERALL_LIMIT: Duration = Duration::from_secs(120);

/// Held by the running test. Several clusters at a time would compete for processors and miss heartbeats.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Runs the body of a test while no other test of this binary runs.
pub(crate) fn run<F: Future<Output = Result<(), BoxError>>>(body: F) {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let _logs = EndedLogs;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("the runtime starts");
    let outcome = runtime.block_on(async { tokio::time::timeout(OVERALL_LIMIT, body).await });
    match outcome {
        Ok(Ok(())) => {}
        Ok(Err(e)) => panic!("{e}"),
        Err(_) => panic!("the test was stuck for {OVERALL_LIMIT:?}"),
    }
}
