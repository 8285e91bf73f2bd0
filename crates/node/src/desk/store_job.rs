use lagoon_adapter::StoreClient;
use lagoon_adapter::store::{Revision, Transaction, TxnOutcome};
use lagoon_jobs::id::JobId;
use lagoon_platform::{Effect, PlatformError};

use crate::cell::Keys;

/// What became of a job that was to be stored.
#[derive(Debug, Clone)]
pub(crate) enum Stored {
    /// It is stored now.
    Now(Revision),
    /// It was stored before, or it has ended.
    Before,
    /// It is not stored.
    Not(PlatformError),
    /// It may be stored.
    Unknown(PlatformError),
}

/// Stores a job unless its id is taken. Of an ended job only the progress is left, so that key has to be absent too.
pub(crate) async fn store_job(store: &StoreClient, id: JobId, record: Vec<u8>) -> Stored {
    let txn = Transaction::new()
        .expect(Keys::job(id), Revision::default())
        .expect(Keys::progress(id), Revision::default())
        .put(Keys::job(id), record);
    match store.commit(txn).await {
        Ok(TxnOutcome::Committed(revision)) => Stored::Now(revision),
        // Only writes under a lease meet a lease that has ended, and this one has none.
        Ok(TxnOutcome::Conflict(_) | TxnOutcome::LeaseEnded) => Stored::Before,
        Err(e) if e.effect() == Effect::None => Stored::Not(e),
        Err(e) => Stored::Unknown(e),
    }
}
