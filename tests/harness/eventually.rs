use std::future::Future;
use std::time::Duration;

use tokio::time::Instant;

use crate::harness::BoxError;

const PAUSE: Duration = Duration::from_millis(25);

/// Looks until there is a value, and fails after `limit`.
pub(crate) async fn eventually<T, F, Fut>(
    what: &str,
    limit: Duration,
    look: F,
) -> Result<T, BoxError>
where
    F: Fn() -> Fut,
    Fut: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + limit;
    loop {
        if let Some(value) = look().await {
            return Ok(value);
        }
        if Instant::now() >= deadline {
            return Err(format!("not seen within {limit:?}: {what}").into());
        }
        tokio::time::sleep(PAUSE).await;
    }
}
