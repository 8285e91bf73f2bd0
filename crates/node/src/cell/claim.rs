use std::time::Duration;

use lagoon_adapter::store::{LeaseId, Revision, Transaction, TxnOutcome};
use lagoon_jobs::id::Epoch;
use lagoon_platform::PlatformError;
use serde::{Deserialize, Serialize};

use crate::cell::{Keys, LeaseHandle, OwnerEntry};
use crate::context::Context;

/// Time that the last owner has to renew its claim before others make one.
const FIRST_WAIT: Duration = Duration::from_millis(120);
/// Further wait for each member that comes before this one.
const WAIT_A_TURN: Duration = Duration::from_millis(120);

/// Head of the owner's records: a condition of each of its writes, so that no write of an earlier owner takes effect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    pub(crate) epoch: Epoch,
    /// Number of the write within the epoch.
    pub(crate) write: u64,
}

/// Ownership of the cell at the time it was taken.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Claim {
    pub(crate) epoch: Epoch,
    /// Revision of the head.
    pub(crate) head: Revision,
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
    let head = cx.store.get(Keys::HEAD).await?;
    let revision = head.as_ref().map(|item| item.revision).unwrap_or_default();
    let last: Head = match &head {
        Some(item) => serde_json::from_slice(&item.value).unwrap_or_else(|e| {
            tracing::error!(
                "cell: head is not readable, its epoch is taken from the revision: {e}"
            );
            Head {
                epoch: Epoch::new(item.revision.get()),
                write: 0,
            }
        }),
        None => Head::default(),
    };
    let epoch = last.epoch.next();
    let txn = owner_transaction(cx, Head { epoch, write: 0 }, revision, lease);
    match cx.store.commit(txn).await {
        Ok(TxnOutcome::Committed(head)) => Ok(Some(Claim { epoch, head })),
        Ok(TxnOutcome::Conflict(_) | TxnOutcome::LeaseEnded) => Ok(None),
        Err(e) => confirm(cx, epoch).await.and_then(|found| match found {
            Some(claim) => Ok(Some(claim)),
            None => Err(e),
        }),
    }
}

/// Returns the transaction that makes this member the owner, if the head is at `revision` and there is no owner.
pub(crate) fn owner_transaction(
    cx: &Context,
    head: Head,
    revision: Revision,
    lease: LeaseId,
) -> Transaction {
    let owner = OwnerEntry {
        member: cx.member().clone(),
        address: cx.settings.listen.peers.get(),
        epoch: head.epoch,
    };
    let encode = "entries have string keys";
    Transaction::new()
        .expect(Keys::HEAD, revision)
        .expect(Keys::OWNER, Revision::default())
        .put(Keys::HEAD, serde_json::to_vec(&head).expect(encode))
        .put_leased(
            Keys::OWNER,
            serde_json::to_vec(&owner).expect(encode),
            lease,
        )
}

/// Finds out whether a claim without an answer took effect.
async fn confirm(cx: &Context, epoch: Epoch) -> Result<Option<Claim>, PlatformError> {
    let Some(owner) = cx.store.get(Keys::OWNER).await? else {
        return Ok(None);
    };
    let is_ours = serde_json::from_slice::<OwnerEntry>(&owner.value)
        .is_ok_and(|entry| entry.member == *cx.member() && entry.epoch == epoch);
    // Both keys were written by the same transaction, so they have its revision.
    let head = owner.revision;
    Ok(is_ours.then_some(Claim { epoch, head }))
}
