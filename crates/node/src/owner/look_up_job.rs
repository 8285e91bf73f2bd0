use std::sync::Arc;

use lagoon_adapter::StoreClient;
use lagoon_jobs::dispatch::StoredJob;
use lagoon_jobs::id::JobId;
use lagoon_jobs::job::Progress;
use lagoon_platform::PlatformError;

use crate::cell::Keys;
use crate::context::Context;
use crate::owner::Shard;

/// Looks in the store for a job that an executor names. Without an answer the dispatcher orders it again.
pub(super) async fn look_up_job(cx: Context, shard: Arc<Shard>, id: JobId) {
    match read_stored_job(&cx.store, id).await {
        Ok(Some(found)) => {
            shard.change(|dispatcher| dispatcher.job_looked_up(id, found, cx.clock.now()))
        }
        Ok(None) => {}
        Err(e) => tracing::warn!(job = %id, "owner: job that an executor names not read: {e}"),
    }
}

/// Returns what the store holds of a job; `None` if that is not readable.
async fn read_stored_job(
    store: &StoreClient,
    id: JobId,
) -> Result<Option<StoredJob>, PlatformError> {
    if let Some(item) = store.get(&Keys::job(id)).await? {
        return Ok(match serde_json::from_slice(&item.value) {
            Ok(record) => Some(StoredJob::Live(record)),
            Err(e) => {
                tracing::error!(job = %id, "owner: job is not readable: {e}");
                None
            }
        });
    }
    // The owner replaces a job by its final state, so the progress has to be read after the job.
    let Some(item) = store.get(&Keys::progress(id)).await? else {
        return Ok(Some(StoredJob::Absent));
    };
    match serde_json::from_slice::<Progress>(&item.value) {
        Ok(Progress { outcome, .. }) => {
            Ok(Some(outcome.map_or(StoredJob::Absent, StoredJob::Ended)))
        }
        Err(e) => {
            tracing::error!(job = %id, "owner: progress is not readable: {e}");
            Ok(None)
        }
    }
}
