use lagoon_adapter::StoreClient;
use lagoon_jobs::id::JobId;
use lagoon_jobs::job::{JobState, Progress};
use lagoon_platform::PlatformError;

use crate::cell::Keys;

/// Reads from the store how far a job is; `None` if there is no such job. What has not ended counts as running, because
/// the store does not hold starts.
pub(super) async fn state(
    store: &StoreClient,
    id: JobId,
) -> Result<Option<JobState>, PlatformError> {
    if store.get(&Keys::job(id)).await?.is_none() {
        return Ok(None);
    }
    if let Some(item) = store.get(&Keys::progress(id)).await? {
        match serde_json::from_slice::<Progress>(&item.value) {
            Ok(Progress {
                outcome: Some(outcome),
                ..
            }) => return Ok(Some(outcome)),
            Ok(_) => return Ok(Some(JobState::Running)),
            Err(e) => tracing::error!(job = %id, "desk: progress is not readable: {e}"),
        }
    }
    let is_cancelled = store.get(&Keys::cancelled(id)).await?.is_some();
    Ok(Some(match is_cancelled {
        true => JobState::Cancelled,
        false => JobState::Queued,
    }))
}
