use std::time::Duration;

use lagoon_adapter::store::LeaseId;
use tokio::time::Instant;

use crate::cell::LeaseHandle;
use crate::context::Context;

/// Time that the last owner has to renew its claim before others make one.
const FIRST_WAIT: Duration = Duration::from_millis(120);
/// Further wait for each member that comes before this one.
const WAIT_A_TURN: Duration = Duration::from_millis(120);

/// Waits until the cell has no owner, this member has a lease, and it is its turn to claim.
///
/// The turn follows the members as they register: after a restart of everything, a weak member that only knew the first
/// few would claim the cell before stronger ones.
pub(crate) async fn wait_for_turn(cx: &Context, lease: &mut LeaseHandle) -> LeaseId {
    let mut cell = cx.cell.subscribe();
    let mut vacant_since = None;
    loop {
        let held = *lease.borrow_and_update();
        let turn = {
            let view = cell.borrow_and_update();
            let is_vacant = view.is_known && view.owner.is_none();
            is_vacant.then(|| view.turn(cx.member()) as u32)
        };
        let due = match turn {
            Some(turn) => {
                let since = *vacant_since.get_or_insert_with(Instant::now);
                Some(since + FIRST_WAIT + WAIT_A_TURN * turn)
            }
            None => {
                vacant_since = None;
                None
            }
        };
        let wait_until_due = async {
            match due.zip(held) {
                Some((due, held)) => {
                    tokio::time::sleep_until(due).await;
                    held
                }
                None => std::future::pending().await,
            }
        };
        // The senders live as long as the node, so that these waits only end with a change.
        tokio::select! {
            held = wait_until_due => return held,
            _ = cell.changed() => {}
            _ = lease.changed() => {}
        }
    }
}
