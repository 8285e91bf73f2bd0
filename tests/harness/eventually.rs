use std::future::Future;
use std::time::Duration;

use tokio::time::Instant;

use crate::harness::BoxError;

const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Calls `poll` until it returns a value; fails after `limit`.
pub(crate) async fn eventually<T, F, Fut>(
    what: &str,
    limit: Duration,
    poll: F,
) -> Result<T, BoxError>
where
    F: Fn() -> Fut,
    Fut: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + limit;
    loop {
        if let Some(value) = poll().await {
            return Ok(value);
        }
        if Instant::now() >= deadline {
            return Err(format!("timed out after {limit:?} waiting until {what}").into());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
