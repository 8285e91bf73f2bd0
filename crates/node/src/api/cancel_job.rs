use lagoon_adapter::StoreClient;
use lagoon_adapter::api::CancelReply;
use lagoon_adapter::store::Transaction;
use lagoon_jobs::id::JobId;

use crate::api::stored_state;
use crate::cell::Keys;

/// Records the cancellation of a job. Repeating it has no further effect.
pub(crate) async fn cancel_job(store: &StoreClient, id: JobId) -> CancelReply {
    match stored_state::state(store, id).await {
        Ok(Some(state)) if state.is_final() => return CancelReply::Cancelled,
        Ok(Some(_)) => {}
        Ok(None) => return CancelReply::Absent,
        Err(e) => {
            tracing::warn!(job = %id, "api: cancellation failed, the state of the job can't be read: {e}");
            return CancelReply::Unknown;
        }
    }
    let txn = Transaction::new().put(Keys::cancelled(id), b"{}".to_vec());
    match store.commit(txn).await {
        Ok(_) => {
            tracing::info!(job = %id, "api: cancellation recorded");
            CancelReply::Cancelled
        }
        Err(e) => {
            tracing::warn!(job = %id, "api: cancellation not confirmed by the store: {e}");
            CancelReply::Unknown
        }
    }
}
