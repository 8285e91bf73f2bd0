use lagoon_adapter::store::{Revision, StoreItem, Transaction, TxnOutcome};
use lagoon_jobs::id::{Epoch, JobId};
use lagoon_jobs::job::JobRecord;
use lagoon_platform::CallEffect;

use crate::cell::{Keys, OwnerEntry};
use crate::context::Context;
use crate::desk::Stored;

/// Attempts to store a job while the cell changes hands. Each finds a later owner, and takeovers take a second.
const MAX_ATTEMPTS: usize = 3;

/// Stores a job unless its id is taken. Of an ended job only the progress is left, so that key has to be absent too.
///
/// The owner's key is a condition, and its epoch a part of the record: a job that is stored after a takeover names the later
/// owner, so that an earlier one, told of it by a member that has not heard of the takeover, does not start it.
pub(crate) async fn store_job(cx: &Context, id: JobId, record: JobRecord) -> Stored {
    let cell = cx.current_cell();
    let mut epoch = cell.owner.as_ref().map(|owner| owner.epoch);
    let mut owner_at = cell.owner_at.unwrap_or_default();
    let mut record = record;
    for _ in 0..MAX_ATTEMPTS {
        record = record.under(epoch);
        let value = serde_json::to_vec(&record).expect("job records have string keys");
        let txn = Transaction::new()
            .expect(Keys::job(id), Revision::default())
            .expect(Keys::progress(id), Revision::default())
            .expect(Keys::OWNER, owner_at)
            .put(Keys::job(id), value.clone());
        let items = match cx.store.commit(txn).await {
            Ok(TxnOutcome::Committed(revision)) => return Stored::Now(revision, value),
            Ok(TxnOutcome::Conflict(items)) => items,
            // Only writes under a lease meet a lease that has ended, and this one has none.
            Ok(TxnOutcome::LeaseEnded) => return Stored::Contended,
            Err(e) if e.effect() == CallEffect::None => return Stored::Not(e),
            Err(e) => return Stored::Unknown(e),
        };
        if items.iter().any(|item| item.key != Keys::OWNER) {
            return Stored::Before;
        }
        let owner = items.first();
        owner_at = owner.map(|item| item.revision).unwrap_or_default();
        epoch = owner.and_then(epoch_of);
        tracing::info!(job = %id, owner = epoch.map(Epoch::get), "desk: the cell has another owner, storing again");
    }
    Stored::Contended
}

fn epoch_of(item: &StoreItem) -> Option<Epoch> {
    match serde_json::from_slice::<OwnerEntry>(&item.value) {
        Ok(owner) => Some(owner.epoch),
        Err(e) => {
            tracing::error!("desk: owner entry is not readable: {e}");
            None
        }
    }
}
