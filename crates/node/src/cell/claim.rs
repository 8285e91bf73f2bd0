use lagoon_adapter::store::{LeaseId, Revision, StoreItem, Transaction, TxnOutcome};
use lagoon_core::unit::Timestamp;
use lagoon_jobs::id::Epoch;
use lagoon_jobs::record::RecordLane;
use lagoon_platform::PlatformError;

use crate::cell::{Head, Keys, OwnerEntry};
use crate::context::Context;

/// A successful claim of the cell.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Claim {
    pub(crate) epoch: Epoch,
    /// Revision of the heads of all lanes after the claim.
    pub(crate) heads: Revision,
    /// When the request was sent.
    pub(crate) sent_at: Timestamp,
}

/// Claims the cell; returns `None` if another member was first. An unserved claim of this member is replaced.
pub(crate) async fn claim(
    cx: &Context,
    lease: LeaseId,
    served: Option<Epoch>,
) -> Result<Option<Claim>, PlatformError> {
    let (heads, owner) = tokio::join!(cx.store.list(Keys::HEADS), cx.store.get(Keys::OWNER));
    let ((items, _), owner) = (heads?, owner?);
    let expected_owner = match &owner {
        None => Revision::default(),
        Some(item) if is_unserved(cx, item, served) => item.revision,
        Some(_) => return Ok(None),
    };
    let last = items.iter().map(|item| Head::read(item).epoch).max();
    let epoch = last.unwrap_or_default().next();
    let heads = RecordLane::all().map(|lane| {
        let key = Keys::head(lane);
        let known = items.iter().find(|item| item.key == key);
        let revision = known.map(|item| item.revision).unwrap_or_default();
        (lane, revision, Head { epoch, write: 0 })
    });
    let txn = owner_transaction(cx, epoch, expected_owner, heads, lease);
    let sent_at = cx.clock.now();
    match cx.store.commit(txn).await {
        Ok(TxnOutcome::Committed(heads)) => Ok(Some(Claim {
            epoch,
            heads,
            sent_at,
        })),
        Ok(TxnOutcome::Conflict(_) | TxnOutcome::LeaseEnded) => Ok(None),
        Err(e) => find_claim(cx, epoch).await.and_then(|found| match found {
            Some(claim) => Ok(Some(claim)),
            None => Err(e),
        }),
    }
}

/// Returns a transaction that makes this member the owner, conditional on the revisions of the owner's key and of each head.
pub(crate) fn owner_transaction(
    cx: &Context,
    epoch: Epoch,
    expected_owner: Revision,
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
        .expect(Keys::OWNER, expected_owner)
        .put_leased(Keys::OWNER, owner, lease);
    heads.fold(txn, |txn, (lane, revision, head)| {
        let key = Keys::head(lane);
        txn.expect(key.clone(), revision).put(key, head.encode())
    })
}

fn is_unserved(cx: &Context, item: &StoreItem, served: Option<Epoch>) -> bool {
    let owner = serde_json::from_slice::<OwnerEntry>(&item.value);
    owner.is_ok_and(|owner| owner.is_unserved(cx.member(), served))
}

/// Returns the claim if an unanswered attempt took effect.
async fn find_claim(cx: &Context, epoch: Epoch) -> Result<Option<Claim>, PlatformError> {
    let sent_at = cx.clock.now();
    let Some(owner) = cx.store.get(Keys::OWNER).await? else {
        return Ok(None);
    };
    let is_ours = serde_json::from_slice::<OwnerEntry>(&owner.value)
        .is_ok_and(|entry| entry.member == *cx.member() && entry.epoch == epoch);
    // One transaction wrote all keys, so the heads have the same revision.
    let heads = owner.revision;
    Ok(is_ours.then_some(Claim {
        epoch,
        heads,
        sent_at,
    }))
}
