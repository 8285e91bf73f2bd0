use std::time::Duration;

use lagoon_adapter::store::{Transaction, TxnOutcome};
use lagoon_jobs::id::Epoch;
use lagoon_platform::PlatformError;

use crate::cell::{Keys, OwnerEntry};
use crate::context::Context;

/// Time for which a much stronger member has to be registered before the cell is handed over, so that one whose lease
/// comes and goes does not interrupt placement each time. A handover takes about half a second.
const MIN_STRONGER_TIME: Duration = Duration::from_millis(1_500);

/// Waits until a much stronger member has been registered for a while.
pub(super) async fn wait_for_stronger(cx: &Context) {
    let mut cell = cx.cell.subscribe();
    loop {
        // The sender lives as long as the node, so that these waits only end with what they wait for.
        let _ = cell.wait_for(|view| view.has_stronger(cx.member())).await;
        let gone = cell.wait_for(|view| !view.has_stronger(cx.member()));
        if tokio::time::timeout(MIN_STRONGER_TIME, gone).await.is_err() {
            return;
        }
    }
}

/// Removes the owner's key, if it is still the one of this epoch, so that the next member can claim the cell at once.
///
/// # Errors
///
/// When the store gives no answer; the key may have been removed.
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
            tracing::info!(%epoch, "owner: the cell has another owner already");
        }
    }
    Ok(())
}
