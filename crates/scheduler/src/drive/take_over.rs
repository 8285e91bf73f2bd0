use std::sync::Arc;

use lagoon_core::shard::{HandOverSnapshot, Shard};
use lagoon_core::{Refusal, ResultCode};

use crate::cell::{PlacedBy, ShardCell};
use crate::drive::{claim, ownership};

/// What an owner offers in a handover.
#[derive(Debug)]
pub(crate) struct HandOverOffer {
    /// State besides the journal.
    pub(crate) snapshot: HandOverSnapshot,
    /// Who chose this process.
    pub(crate) placed_by: PlacedBy,
}

/// Claims a shard that its owner hands over. Run it in a task of its own: once the claim is sent it must go on even if
/// the owner's call ends.
///
/// # Errors
///
/// Refused if the shard can't be claimed at the head that the offer names. The owner does not rely on the refusal.
pub(crate) async fn take_over(cell: Arc<ShardCell>, offer: HandOverOffer) -> Result<(), Refusal> {
    let cx = cell.cx();
    let id = cell.id();
    if cx.members.is_leaving() {
        let text = format!("{} is stopping", cx.settings.process);
        return Err(Refusal::new(ResultCode::Draining, text));
    }
    if !cell.try_begin_claim() {
        let text = format!("shard {id} is claimed or owned by {}", cx.settings.process);
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
        Ok(None) => "the head changed, or no policy has arrived".to_owned(),
        Err(e) => e.to_string(),
    };
    cell.abort_claim();
    let text = format!("shard {id} can't be claimed: {reason}");
    Err(Refusal::new(ResultCode::NotServing, text))
}

/// The shard is owned whether or not the tickets can be used: without them, old tickets answer "not known".
fn import(shard: &mut Shard, snapshot: HandOverSnapshot) {
    if let Err(refusal) = shard.import(snapshot) {
        tracing::error!("shard: {}: {refusal}", shard.id());
    }
}
