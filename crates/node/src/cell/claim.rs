use std::time::Duration;

use lagoon_adapter::store::{LeaseId, Revision, Transaction, TxnOutcome};
use lagoon_jobs::id::Epoch;
use lagoon_jobs::record::RecordLane;
use lagoon_platform::PlatformError;

use crate::cell::{Head, Keys, LeaseHandle, OwnerEntry};
use crate::context::Context;

/// Time that the last owner has to renew its claim before others make one.
const FIRST_WAIT: Duration = Duration::from_millis(120);
/// Further wait for each member that comes before this one.
const WAIT_A_TURN: Duration = Duration::from_millis(120);

/// Ownership of the cell at the time it was taken.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Claim {
    pub(crate) epoch: Epoch,
    /// Revision of the heads of all lanes.
    pub(crate) heads: Revision,
}

/// Waits until the cell has no owner, this member has a lease, and it is its turn to claim.
pub(crate) async fn wait_for_turn(cx: &Context, lease: &mut LeaseHandle) -> LeaseId {
    let mut cell = cx.cell.subscribe();
    loop {
        // The senders live as long as the node, so these waits only end with what they wait for.
        let vacant =
            |view: &std::sync::Arc<crate::cell::CellView>| view.is_known && view.owner.is_none();
        let Ok(view) = cell.wait_for(vacant).await.map(|view| view.clone()) else {
            std::future::pending::<()>().await;
            unreachable!("pending futures never end");
        };
        let turn = view.turn(cx.member()) as u32;
        tokio::time::sleep(FIRST_WAIT + WAIT_A_TURN * turn).await;
        let held = *lease.borrow();
        match held {
            Some(held) if cx.current_cell().owner.is_none() => return held,
            Some(_) => {}
            None => {
                // Without a lease there is nothing to claim with; the registration goes on meanwhile.
                let _ = lease.changed().await;
            }
        }
    }
}

/// Claims the cell; `None` if another member was faster.
pub(crate) async fn claim(cx: &Context, lease: LeaseId) -> Result<Option<Claim>, PlatformError> {
    let (items, _) = cx.store.list(Keys::HEADS).await?;
    let last = items.iter().map(|item| Head::read(item).epoch).max();
    let epoch = last.unwrap_or_default().next();
    let heads = RecordLane::all().map(|lane| {
        let key = Keys::head(lane);
        let known = items.iter().find(|item| item.key == key);
        let revision = known.map(|item| item.revision).unwrap_or_default();
        (lane, revision, Head { epoch, write: 0 })
    });
    let txn = owner_transaction(cx, epoch, heads, lease);
    match cx.store.commit(txn).await {
        Ok(TxnOutcome::Committed(heads)) => Ok(Some(Claim { epoch, heads })),
        Ok(TxnOutcome::Conflict(_) | TxnOutcome::LeaseEnded) => Ok(None),
        Err(e) => confirm(cx, epoch).await.and_then(|found| match found {
            Some(claim) => Ok(Some(claim)),
            None => Err(e),
        }),
    }
}

/// Returns the transaction that makes this member the owner, if each head is at its revision and there is no owner.
pub(crate) fn owner_transaction(
    cx: &Context,
    epoch: Epoch,
    heads: impl Iterator<Item = (RecordLane, Revision, Head)>,
    lease: LeaseId,
) -> Transaction {
    let owner = OwnerEntry {
        member: cx.member().clone(),
        address: cx.settings.listen.peers.get(),
        epoch,
    };
    let owner = serde_json::to_vec(&owner).expect("entries have string keys");
    let txn = Transaction::new()
        .expect(Keys::OWNER, Revision::default())
        .put_leased(Keys::OWNER, owner, lease);
    heads.fold(txn, |txn, (lane, revision, head)| {
        let key = Keys::head(lane);
        txn.expect(key.clone(), revision).put(key, head.encode())
    })
}

/// Finds out whether a claim without an answer took effect.
async fn confirm(cx: &Context, epoch: Epoch) -> Result<Option<Claim>, PlatformError> {
    let Some(owner) = cx.store.get(Keys::OWNER).await? else {
        return Ok(None);
    };
    let is_ours = serde_json::from_slice::<OwnerEntry>(&owner.value)
        .is_ok_and(|entry| entry.member == *cx.member() && entry.epoch == epoch);
    // All keys were written by the same transaction, so they have its revision.
    let heads = owner.revision;
    Ok(is_ours.then_some(Claim { epoch, heads }))
}
