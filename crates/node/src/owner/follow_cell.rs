use std::sync::Arc;
use std::time::Duration;

use lagoon_jobs::id::MemberId;
use tokio::sync::mpsc;

use crate::cell::{CellView, LeaseHandle};
use crate::context::Context;
use crate::owner::Shard;
use crate::owner::recorder::Recorder;

/// Delay after a failed attempt to write the owner's key.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Passes changes of members and configuration to the dispatcher, restores the owner's key after its lease expired, and
/// steps down when another member owns the cell.
pub(super) async fn follow(
    cx: Context,
    shard: Arc<Shard>,
    recorder: Arc<Recorder>,
    lease: LeaseHandle,
    step_down: mpsc::Sender<()>,
) {
    let mut cell = cx.cell.subscribe();
    let mut policy = cx.policy.subscribe();
    loop {
        let view = cell.borrow_and_update().clone();
        if let Some(policy) = policy.borrow_and_update().clone() {
            shard.change(|dispatcher| dispatcher.set_policy(policy));
        }
        set_members(&cx, &shard, &view);
        match &view.owner {
            Some(owner) if owner.member != *cx.member() => {
                let epoch = shard.with(|dispatcher| dispatcher.epoch());
                if owner.epoch > epoch {
                    tracing::warn!(owner = %owner.member, epoch = %owner.epoch, "owner: another member owns the cell, stepping down");
                    // If the channel is full, a request to step down is already pending.
                    let _ = step_down.try_send(());
                }
            }
            Some(_) => {}
            None => {
                match recorder.restore_owner_key(&shard, &lease).await {
                    Ok(true) => tracing::info!("owner: owner key restored after its lease expired"),
                    Ok(false) => tokio::time::sleep(RETRY_DELAY).await,
                    Err(e) => {
                        tracing::warn!("owner: owner key not restored, it is retried: {e}");
                        tokio::time::sleep(RETRY_DELAY).await;
                    }
                }
                // The watch reports the key; until then another attempt would only end in a conflict.
                let _ = tokio::time::timeout(RETRY_DELAY, cell.changed()).await;
                continue;
            }
        }
        tokio::select! {
            changed = cell.changed() => if changed.is_err() { return },
            changed = policy.changed() => if changed.is_err() { return },
        }
    }
}

fn set_members(cx: &Context, shard: &Shard, view: &CellView) {
    let mut members: Vec<MemberId> = view.members.keys().cloned().collect();
    if !members.contains(cx.member()) {
        members.push(cx.member().clone());
    }
    shard.change(|dispatcher| dispatcher.set_members(&members));
}
