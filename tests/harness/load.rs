//! Work that callers submit concurrently, each request or job in its own tokio task.

use serde_json::Value;
use tokio::task::JoinSet;

use crate::harness::{BoxError, Caller, Deduplication, Outcome};

/// Outcomes, each with the payload or work id under which the simulated platform counts starts.
pub(crate) type Outcomes = Vec<(String, Outcome)>;

/// Requests and jobs in progress.
#[derive(Debug, Default)]
pub(crate) struct Load(JoinSet<Result<(String, Outcome), BoxError>>);

impl Load {
    /// Sends a request until its outcome is known.
    pub(crate) fn request(
        &mut self,
        caller: &Caller,
        gateway: usize,
        dedup: Deduplication,
        payload: String,
    ) {
        let caller = caller.clone();
        self.0.spawn(async move {
            let outcome = caller.request_with_retries(gateway, &dedup, &payload).await;
            Ok((payload, outcome))
        });
    }

    /// Submits a job and waits until it ends.
    pub(crate) fn job(&mut self, caller: &Caller, gateway: usize, key: String, job: Value) {
        let caller = caller.clone();
        self.0.spawn(async move {
            let accepted = caller.submit_with_retries(gateway, &key, &job).await?;
            if accepted.status != 200 {
                // A refused job has no work id, so it is listed under its key, which must not appear in any start.
                let outcome = Outcome::from_response(&accepted).unwrap_or(Outcome::NotKnown(0));
                return Ok((key, outcome));
            }
            let work = accepted.text("work").to_owned();
            let result = caller.wait_for_result(gateway, &work).await?;
            Ok((work, Outcome::from_result(&result)))
        });
    }

    /// Waits for all outcomes.
    pub(crate) async fn outcomes(mut self) -> Result<Outcomes, BoxError> {
        let mut outcomes = Vec::new();
        while let Some(ended) = self.0.join_next().await {
            outcomes.push(ended??);
        }
        Ok(outcomes)
    }
}

/// Returns the number of requests or jobs that succeeded.
pub(crate) fn count_succeeded(outcomes: &Outcomes) -> usize {
    outcomes
        .iter()
        .filter(|(_, outcome)| outcome.is_succeeded())
        .count()
}
