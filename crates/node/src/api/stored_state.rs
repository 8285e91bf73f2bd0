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
    let is_live = store.get(&Keys::job(id)).await?.is_some();
    // The owner replaces a job by its final state, so the progress has to be read after the job.
    if let Some(item) = store.get(&Keys::progress(id)).await? {
        match serde_json::from_slice::<Progress>(&item.value) {
            Ok(progress) => return Ok(Some(progress.outcome.unwrap_or(JobState::Running))),
            Err(e) => tracing::error!(job = %id, "desk: progress is not readable: {e}"),
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
