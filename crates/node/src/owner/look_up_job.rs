use std::sync::Arc;

use lagoon_adapter::StoreClient;
use lagoon_jobs::dispatch::StoredJob;
use lagoon_jobs::id::JobId;
use lagoon_jobs::job::Progress;
use lagoon_platform::PlatformError;

use crate::cell::Keys;
use crate::context::Context;
use crate::owner::Shard;

/// Looks up a job that an executor names in the store. Without an answer the dispatcher requests the look-up again.
pub(super) async fn look_up_job(cx: Context, shard: Arc<Shard>, id: JobId) {
    match read_stored_job(&cx.store, id).await {
        Ok(Some(found)) => {
            shard.change(|dispatcher| dispatcher.job_looked_up(id, found, cx.clock.now()))
        }
        Ok(None) => {}
        Err(e) => {
            tracing::warn!(job = %id, "owner: look-up of a job that an executor names failed, it is repeated: {e}")
        }
    }
}

/// Returns the stored state of a job; `None` if it is malformed.
async fn read_stored_job(
    store: &StoreClient,
    id: JobId,
) -> Result<Option<StoredJob>, PlatformError> {
    if let Some(item) = store.get(&Keys::job(id)).await? {
        return Ok(match serde_json::from_slice(&item.value) {
            Ok(record) => Some(StoredJob::Live(record)),
            Err(e) => {
                tracing::error!(job = %id, "owner: stored job is malformed: {e}");
                None
            }
        });
    }
    // When a job ends, the owner replaces it by its progress, so the progress has to be read second.
    let Some(item) = store.get(&Keys::progress(id)).await? else {
        return Ok(Some(StoredJob::Absent));
    };
    match serde_json::from_slice::<Progress>(&item.value) {
        Ok(Progress { outcome, .. }) => {
            Ok(Some(outcome.map_or(StoredJob::Absent, StoredJob::Ended)))
        }
        Err(e) => {
            tracing::error!(job = %id, "owner: stored progress is malformed: {e}");
            Ok(None)
        }
    }
}
