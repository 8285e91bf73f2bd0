use lagoon_adapter::StoreClient;
use lagoon_jobs::id::JobId;
use lagoon_jobs::job::{JobState, Progress};
use lagoon_platform::PlatformError;

use crate::cell::Keys;

/// Reads the state of a job from the store; returns `None` if there is no such job. A job with progress that has not ended
/// counts as running, because starts are not stored.
pub(super) async fn state(
    store: &StoreClient,
    id: JobId,
) -> Result<Option<JobState>, PlatformError> {
    let is_live = store.get(&Keys::job(id)).await?.is_some();
    // When a job ends, the owner replaces it by its progress, so the progress has to be read second.
    if let Some(item) = store.get(&Keys::progress(id)).await? {
        match serde_json::from_slice::<Progress>(&item.value) {
            Ok(progress) => return Ok(Some(progress.outcome.unwrap_or(JobState::Running))),
            Err(e) => {
                tracing::error!(job = %id, "api: stored progress is malformed, it is ignored: {e}")
            }
        }
    }
    if !is_live {
        return Ok(None);
    }
    let is_cancelled = store.get(&Keys::cancelled(id)).await?.is_some();
    Ok(Some(match is_cancelled {
        true => JobState::Cancelled,
        false => JobState::Queued,
    }))
}
