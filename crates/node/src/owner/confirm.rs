use std::sync::Arc;

use lagoon_core::unit::{Millis, Timestamp};
use lagoon_jobs::id::Epoch;
use lagoon_jobs::record::RecordLane;
use lagoon_platform::PlatformError;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::cell::{Head, Keys};
use crate::context::Context;
use crate::owner::Shard;

/// Age of the last confirmation at which another is asked for, and time between two questions, so that two may be lost before
/// starts cease. Each write of progress confirms the ownership too, so that a busy owner asks seldom.
const CONFIRM_INTERVAL: Millis = Millis::new(300);

/// What the store says of an ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Confirmation {
    /// No other member had claimed the cell when it was asked at this time.
    Owned(Timestamp),
    /// Another member has claimed the cell, or its records are gone.
    Lost,
}

/// Asks the store whether the epoch is still the last one. Every claim writes the heads of all lanes.
///
/// # Errors
///
/// When there is no answer.
pub(super) async fn confirm(cx: &Context, epoch: Epoch) -> Result<Confirmation, PlatformError> {
    let sent_at = cx.clock.now();
    let head = cx.store.get(&Keys::head(RecordLane::FIRST)).await?;
    let found = head.as_ref().map(Head::read);
    Ok(match found {
        Some(found) if found.epoch == epoch => Confirmation::Owned(sent_at),
        found => {
            let found = found.map(|head| head.epoch.get());
            tracing::warn!(found, own = %epoch, "owner: the store does not confirm the ownership");
            Confirmation::Lost
        }
    })
}

/// Keeps the ownership confirmed, until the task is aborted. A question that is not answered does not put off the next one.
pub(super) async fn keep_confirmed(cx: Context, shard: Arc<Shard>, step_down: mpsc::Sender<()>) {
    let epoch = shard.with(|dispatcher| dispatcher.epoch());
    let mut requests = JoinSet::new();
    let mut due = Instant::now();
    loop {
        let answer = tokio::select! {
            () = tokio::time::sleep_until(due) => {
                let confirmed = shard.with(|dispatcher| dispatcher.last_confirmed());
                let age = cx.clock.now().since(confirmed);
                let left = CONFIRM_INTERVAL.saturating_sub(age);
                if left == Millis::ZERO {
                    requests.spawn(try_confirm(cx.clone(), epoch));
                    due = Instant::now() + CONFIRM_INTERVAL.to_duration();
                } else {
                    due = Instant::now() + left.to_duration();
                }
                continue;
            }
            Some(answer) = requests.join_next() => answer,
        };
        match answer {
            Ok(Some(Confirmation::Owned(sent_at))) => {
                shard.change(|dispatcher| dispatcher.confirm_ownership(sent_at));
            }
            Ok(Some(Confirmation::Lost)) => {
                shard.change(|dispatcher| dispatcher.fenced());
                // A full channel means that the step is already under way.
                let _ = step_down.try_send(());
                return;
            }
            Ok(None) => {}
            Err(e) => tracing::error!("owner: a question for the ownership ended early: {e}"),
        }
    }
}

/// Asks once; `None` if there is no answer.
async fn try_confirm(cx: Context, epoch: Epoch) -> Option<Confirmation> {
    match confirm(&cx, epoch).await {
        Ok(confirmation) => Some(confirmation),
        Err(e) => {
            cx.metrics.count("owner.confirmation_failed", 1);
            tracing::warn!(%epoch, "owner: ownership not confirmed: {e}");
            None
        }
    }
}
