//! Work that callers submit in the background, each piece in a task of its own.

use serde_json::Value;
use tokio::task::JoinSet;

use crate::harness::{BoxError, Caller, Ending, Route};

/// Endings of many pieces of work, each with the name under which the fakes count it.
pub(crate) type Endings = Vec<(String, Ending)>;

/// Requests under way.
#[derive(Debug, Default)]
pub(crate) struct Load(JoinSet<Result<(String, Ending), BoxError>>);

impl Load {
    /// Sends a request until its ending is known.
    pub(crate) fn request(
        &mut self,
        caller: &Caller,
        gateway: usize,
        route: Route,
        payload: String,
    ) {
        let caller = caller.clone();
        self.0.spawn(async move {
            let ending = caller.request_to_end(gateway, &route, &payload).await;
            Ok((payload, ending))
        });
    }

    /// Submits a job and waits for its end.
    pub(crate) fn job(&mut self, caller: &Caller, gateway: usize, key: String, job: Value) {
        let caller = caller.clone();
        self.0.spawn(async move {
            let accepted = caller.submit_to_end(gateway, &key, &job).await?;
            if accepted.status != 200 {
                // The work has no id, so that nothing of it may appear among the starts.
                let ending = Ending::of(&accepted).unwrap_or(Ending::NotKnown(0));
                return Ok((key, ending));
            }
            let work = accepted.text("work").to_owned();
            let result = caller.result(gateway, &work).await?;
            Ok((work, Ending::of_result(&result)))
        });
    }

    /// Waits for all endings.
    pub(crate) async fn endings(mut self) -> Result<Endings, BoxError> {
        let mut endings = Vec::new();
        while let Some(ended) = self.0.join_next().await {
            endings.push(ended??);
        }
        Ok(endings)
    }
}

/// Counts the pieces of work that succeeded.
pub(crate) fn answered(endings: &Endings) -> usize {
    endings
        .iter()
        .filter(|(_, ending)| ending.is_answered())
        .count()
}
