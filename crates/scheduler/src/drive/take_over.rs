use std::sync::Arc;

use lagoon_core::shard::{HandOverSnapshot, Shard};
use lagoon_core::{Refusal, ResultCode};

use crate::cell::{PlacedBy, ShardCell};
use crate::drive::{claim, ownership};

/// Offer of an owner to hand a shard over to this process.
#[derive(Debug)]
pub(crate) struct HandOverOffer {
    /// State in addition to the journal.
    pub(crate) snapshot: HandOverSnapshot,
    /// How this process was chosen.
    pub(crate) placed_by: PlacedBy,
}

/// Claims a shard that its owner hands over. Must run in its own task: once the claim is sent, it must continue even if
/// the owner's call is cancelled.
///
/// # Errors
///
/// Refused if the shard can't be claimed at the head version of the offer. The owner does not rely on the refusal.
pub(crate) async fn take_over(cell: Arc<ShardCell>, offer: HandOverOffer) -> Result<(), Refusal> {
    let cx = cell.cx();
    let id = cell.id();
    if cx.members.is_leaving() {
        let text = format!("{} is stopping", cx.settings.process);
        return Err(Refusal::new(ResultCode::Draining, text));
    }
    if !cell.try_begin_claim() {
        let text = format!(
            "shard {id} is being claimed or already owned by {}",
            cx.settings.process
        );
        return Err(Refusal::new(ResultCode::NotServing, text));
    }
    let HandOverOffer {
        snapshot,
        placed_by,
    } = offer;
    let reason = match claim::claim(&cell, Some(snapshot.head)).await {
        Ok(Some(mut shard)) => {
            import(&mut shard, snapshot);
            tokio::spawn(ownership::begin(&cell, shard, placed_by));
            return Ok(());
        }
        Ok(None) => "the head has changed, or no policy has been received".to_owned(),
        Err(e) => e.to_string(),
    };
    cell.abort_claim();
    let text = format!("shard {id} can't be claimed: {reason}");
    Err(Refusal::new(ResultCode::NotServing, text))
}

/// Imports the snapshot. An import that fails does not end the ownership: old tickets then get "not known".
fn import(shard: &mut Shard, snapshot: HandOverSnapshot) {
    if let Err(refusal) = shard.import(snapshot) {
        tracing::error!(
            "shard: tickets of {} can't be imported, their outcomes are not known any more: {refusal}",
            shard.id()
        );
    }
}
