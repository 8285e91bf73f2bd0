use std::time::Duration;

use lagoon_adapter::store::LeaseId;
use lagoon_jobs::id::{Epoch, MemberId};
use tokio::time::Instant;

use crate::cell::{CellView, LeaseHandle};
use crate::context::Context;

/// Delay before the first claim, in which the last owner can restore its own.
const BASE_CLAIM_DELAY: Duration = Duration::from_millis(120);
/// Additional delay for each member that precedes this one.
const CLAIM_DELAY_PER_RANK: Duration = Duration::from_millis(120);

/// Waits until the cell has no owner, this member has a lease, and its delay to claim the cell has passed.
///
/// The delay is recomputed as members register: otherwise, after a restart of all nodes, a weak member that knew only the
/// first few would claim the cell before stronger ones. A member that is named as the owner with an epoch later than
/// `served`, the last one that it served, claims at once: an earlier incarnation of it served that epoch, or an unanswered
/// claim of its own took effect.
pub(crate) async fn wait_to_claim(
    cx: &Context,
    lease: &mut LeaseHandle,
    served: Option<Epoch>,
) -> LeaseId {
    let mut cell = cx.cell.subscribe();
    let mut vacant_since = None;
    loop {
        let lease_id = *lease.borrow_and_update();
        let delay = claim_delay(&cell.borrow_and_update(), cx.member(), served);
        let due = delay.map(|delay| *vacant_since.get_or_insert_with(Instant::now) + delay);
        if due.is_none() {
            vacant_since = None;
        }
        let wait_until_due = async {
            match due.zip(lease_id) {
                Some((due, lease_id)) => {
                    tokio::time::sleep_until(due).await;
                    lease_id
                }
                None => std::future::pending().await,
            }
        };
        // The senders live as long as the node, so these waits resolve only on a change.
        tokio::select! {
            lease_id = wait_until_due => return lease_id,
            _ = cell.changed() => {}
            _ = lease.changed() => {}
        }
    }
}

/// Returns the delay before a member claims the cell; `None` if the cell is served or not known yet.
fn claim_delay(view: &CellView, member: &MemberId, served: Option<Epoch>) -> Option<Duration> {
    match &view.owner {
        _ if !view.is_loaded => None,
        None => Some(BASE_CLAIM_DELAY + CLAIM_DELAY_PER_RANK * view.claim_rank(member) as u32),
        Some(owner) if owner.is_unserved(member, served) => Some(Duration::ZERO),
        Some(_) => None,
    }
}
