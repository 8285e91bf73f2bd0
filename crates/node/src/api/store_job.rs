use lagoon_adapter::store::{Revision, StoreItem, Transaction, TxnOutcome};
use lagoon_jobs::id::{Epoch, JobId};
use lagoon_jobs::job::JobRecord;
use lagoon_platform::CallEffect;

use crate::api::StoreOutcome;
use crate::cell::{Keys, OwnerEntry};
use crate::context::Context;

/// Attempts to store a job while the owner changes. Each finds a later owner, and a takeover takes about 1 s.
const MAX_ATTEMPTS: usize = 3;

/// Stores a job unless its id is in use. An ended job has only its progress in the store, so that key must be absent too.
///
/// The write is also conditional on the absence of a cancellation, so that it has no effect after a caller was told that there is no
/// such job, however late the store executes it.
///
/// The write is conditional on the owner's key, and the record contains the owner's epoch. A job that is stored after a
/// takeover thus has the later epoch, and an earlier owner does not start it when a member that has not seen the takeover
/// notifies it.
pub(crate) async fn store_job(cx: &Context, id: JobId, record: JobRecord) -> StoreOutcome {
    let cell = cx.current_cell();
    let mut epoch = cell.owner.as_ref().map(|owner| owner.epoch);
    let mut owner_revision = cell.owner_revision.unwrap_or_default();
    let mut record = record;
    for _ in 0..MAX_ATTEMPTS {
        record = record.under(epoch);
        let value = serde_json::to_vec(&record).expect("job records have string keys");
        let txn = Transaction::new()
            .expect(Keys::job(id), Revision::default())
            .expect(Keys::progress(id), Revision::default())
            .expect(Keys::cancelled(id), Revision::default())
            .expect(Keys::OWNER, owner_revision)
            .put(Keys::job(id), value.clone());
        let items = match cx.store.commit(txn).await {
            Ok(TxnOutcome::Committed(revision)) => return StoreOutcome::Stored(revision, value),
            Ok(TxnOutcome::Conflict(items)) => items,
            // Does not occur, because this transaction writes nothing under a lease.
            Ok(TxnOutcome::LeaseEnded) => return StoreOutcome::Contended,
            Err(e) if e.effect() == CallEffect::None => return StoreOutcome::NotStored(e),
            Err(e) => return StoreOutcome::Unknown(e),
        };
        let is_present = |key: &str| items.iter().any(|item| item.key == key);
        if is_present(&Keys::job(id)) || is_present(&Keys::progress(id)) {
            return StoreOutcome::AlreadyStored;
        }
        if is_present(&Keys::cancelled(id)) {
            return StoreOutcome::Cancelled;
        }
        let owner = items.first();
        owner_revision = owner.map(|item| item.revision).unwrap_or_default();
        epoch = owner.and_then(epoch_of);
        tracing::info!(job = %id, owner = epoch.map(Epoch::get), "api: job not stored because the owner changed, retrying");
    }
    StoreOutcome::Contended
}

fn epoch_of(item: &StoreItem) -> Option<Epoch> {
    match serde_json::from_slice::<OwnerEntry>(&item.value) {
        Ok(owner) => Some(owner.epoch),
        Err(e) => {
            tracing::error!("api: stored owner entry is malformed: {e}");
            None
        }
    }
}
