use lagoon_adapter::StoreClient;
use lagoon_adapter::api::CancelReply;
use lagoon_adapter::store::Transaction;
use lagoon_jobs::id::JobId;

use crate::api::stored_state;
use crate::cell::Keys;

/// Records a cancellation. Recording one twice has the effect of one.
pub(crate) async fn cancel_job(store: &StoreClient, id: JobId) -> CancelReply {
    match stored_state::state(store, id).await {
        Ok(Some(state)) if state.is_final() => return CancelReply::Cancelled,
        Ok(Some(_)) => {}
        Ok(None) => return CancelReply::Absent,
        Err(e) => {
            tracing::warn!(job = %id, "desk: job to cancel can't be read: {e}");
            return CancelReply::Unknown;
        }
    }
    let txn = Transaction::new().put(Keys::cancelled(id), b"{}".to_vec());
    match store.commit(txn).await {
        Ok(_) => {
            tracing::info!(job = %id, "desk: cancellation recorded");
            CancelReply::Cancelled
        }
        Err(e) => {
            tracing::warn!(job = %id, "desk: cancellation not confirmed: {e}");
            CancelReply::Unknown
        }
    }
}
