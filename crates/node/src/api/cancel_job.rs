use lagoon_adapter::api::CancelReply;
use lagoon_adapter::store::{Revision, Transaction, TxnOutcome};
use lagoon_jobs::id::JobId;
use lagoon_platform::PlatformError;

use crate::api::stored_state;
use crate::cell::Keys;
use crate::context::Context;

/// Attempts to cancel a job that is being stored at the same time. Once it is stored, the next attempt finds it.
const MAX_ATTEMPTS: usize = 3;

/// Records the cancellation of a job. Repeating it has no further effect.
///
/// The cancellation of a job that is not in the store is recorded too: a write of the job may still be under way, and every such write
/// is conditional on the absence of a cancellation. The owner removes the record after some time.
pub(crate) async fn cancel_job(cx: &Context, id: JobId) -> CancelReply {
    for _ in 0..MAX_ATTEMPTS {
        match stored_state::state(&cx.store, id).await {
            Ok(Some(state)) if state.is_final() => return CancelReply::Cancelled,
            Ok(Some(_)) => return record(cx, id).await,
            Ok(None) => {}
            Err(e) => {
                tracing::warn!(job = %id, "api: cancellation failed, the state of the job can't be read: {e}");
                return CancelReply::Unknown;
            }
        }
        if let Err(retry_after) = cx.cancel_limiter.try_acquire(cx.clock.now()) {
            tracing::warn!(job = %id, "api: cancellation of an unknown job refused, too many of them");
            return CancelReply::Overloaded { retry_after };
        }
        let txn = cancellation(id)
            .expect(Keys::job(id), Revision::default())
            .expect(Keys::progress(id), Revision::default());
        match cx.store.commit(txn).await {
            Ok(TxnOutcome::Committed(_)) => {
                tracing::info!(job = %id, "api: cancellation of an unknown job recorded");
                return CancelReply::Absent;
            }
            Ok(TxnOutcome::Conflict(_) | TxnOutcome::LeaseEnded) => {
                tracing::info!(job = %id, "api: job to cancel was stored meanwhile, retrying");
            }
            Err(e) => return unconfirmed(id, &e),
        }
    }
    CancelReply::Unknown
}

async fn record(cx: &Context, id: JobId) -> CancelReply {
    match cx.store.commit(cancellation(id)).await {
        Ok(_) => {
            tracing::info!(job = %id, "api: cancellation recorded");
            CancelReply::Cancelled
        }
        Err(e) => unconfirmed(id, &e),
    }
}

fn cancellation(id: JobId) -> Transaction {
    Transaction::new().put(Keys::cancelled(id), b"{}".to_vec())
}

fn unconfirmed(id: JobId, e: &PlatformError) -> CancelReply {
    tracing::warn!(job = %id, "api: cancellation not confirmed by the store: {e}");
    CancelReply::Unknown
}
