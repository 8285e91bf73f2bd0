use std::time::Duration;

use lagoon_adapter::store::{Transaction, TxnOutcome};
use lagoon_jobs::id::Epoch;
use lagoon_platform::PlatformError;

use crate::cell::{Keys, OwnerEntry};
use crate::context::Context;

/// Time for which a much stronger member has to be registered before the cell is handed over, so that a member with an
/// unstable lease does not interrupt placement repeatedly. A handover takes about 0.5 s.
const MIN_STRONGER_TIME: Duration = Duration::from_millis(1_500);

/// Waits until a much stronger member has been registered for [`MIN_STRONGER_TIME`].
pub(super) async fn wait_for_stronger(cx: &Context) {
    let mut cell = cx.cell.subscribe();
    loop {
        // The sender lives as long as the node, so these waits never fail.
        let _ = cell.wait_for(|view| view.has_stronger(cx.member())).await;
        let gone = cell.wait_for(|view| !view.has_stronger(cx.member()));
        if tokio::time::timeout(MIN_STRONGER_TIME, gone).await.is_err() {
            return;
        }
    }
}

/// Removes the owner's key if it still has this epoch, so that the next member can claim the cell at once.
///
/// # Errors
///
/// When the store does not answer; the key may have been removed.
pub(super) async fn release_ownership(cx: &Context, epoch: Epoch) -> Result<(), PlatformError> {
    let Some(item) = cx.store.get(Keys::OWNER).await? else {
        return Ok(());
    };
    let is_own = serde_json::from_slice::<OwnerEntry>(&item.value)
        .is_ok_and(|entry| entry.member == *cx.member() && entry.epoch == epoch);
    if !is_own {
        return Ok(());
    }
    let txn = Transaction::new()
        .expect(Keys::OWNER, item.revision)
        .remove(Keys::OWNER);
    match cx.store.commit(txn).await? {
        TxnOutcome::Committed(_) => {}
        TxnOutcome::Conflict(_) | TxnOutcome::LeaseEnded => {
            tracing::info!(%epoch, "owner: ownership not released because the cell already has another owner");
        }
    }
    Ok(())
}
