use std::sync::Arc;
use std::time::Duration;

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

/// Age of the last confirmation at which another is requested, and time between two requests, so that two may be lost before
/// starts are withheld. Each write of progress also confirms the ownership, so a busy owner seldom sends a request.
const CONFIRM_INTERVAL: Millis = Millis::new(300);

/// Shortest time between two requests while new connections for starts wait for a confirmation, so that one request serves those
/// that are established together.
const MIN_CONFIRM_INTERVAL: Duration = Duration::from_millis(10);

/// State of an ownership according to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Confirmation {
    /// No other member had claimed the cell when the request was sent at this time.
    Owned(Timestamp),
    /// Another member has claimed the cell, or the records of the claim are gone.
    Lost,
}

/// Checks with the store that no later epoch exists. Every claim writes the heads of all lanes, so one head suffices.
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
            tracing::warn!(found, own = %epoch, "owner: ownership is lost, the store has another epoch or none");
            Confirmation::Lost
        }
    })
}

/// Keeps the ownership confirmed until the task is aborted, and confirms it early when a new connection for starts waits for that. An
/// unanswered request does not delay the next one.
pub(super) async fn keep_confirmed(cx: Context, shard: Arc<Shard>, step_down: mpsc::Sender<()>) {
    let epoch = shard.with(|dispatcher| dispatcher.epoch());
    let mut requests = JoinSet::new();
    let mut due = Instant::now();
    let mut next_allowed = due;
    let mut is_awaited = false;
    loop {
        let response = tokio::select! {
            () = tokio::time::sleep_until(due) => {
                let confirmed = shard.with(|dispatcher| dispatcher.last_confirmed());
                let age = cx.clock.now().since(confirmed);
                let left = CONFIRM_INTERVAL.saturating_sub(age);
                let now = Instant::now();
                if is_awaited || left == Millis::ZERO {
                    requests.spawn(try_confirm(cx.clone(), epoch));
                    is_awaited = false;
                    next_allowed = now + MIN_CONFIRM_INTERVAL;
                    due = now + CONFIRM_INTERVAL.to_duration();
                } else {
                    due = now + left.to_duration();
                }
                continue;
            }
            () = shard.confirmation_awaited.notified() => {
                is_awaited = true;
                due = due.min(next_allowed);
                continue;
            }
            Some(response) = requests.join_next() => response,
        };
        match response {
            Ok(Some(Confirmation::Owned(sent_at))) => {
                shard.confirm_ownership(&cx, sent_at);
                // Starts may have been withheld.
                shard.changed.notify_one();
            }
            Ok(Some(Confirmation::Lost)) => {
                shard.change(|dispatcher| dispatcher.fenced());
                // If the channel is full, a request to step down is already pending.
                let _ = step_down.try_send(());
                return;
            }
            Ok(None) => {}
            Err(e) => tracing::error!("owner: task that confirms the ownership failed: {e}"),
        }
    }
}

/// Sends one request; returns `None` if there is no answer.
async fn try_confirm(cx: Context, epoch: Epoch) -> Option<Confirmation> {
    match confirm(&cx, epoch).await {
        Ok(confirmation) => Some(confirmation),
        Err(e) => {
            cx.metrics.count("owner.confirmation_failed", 1);
            tracing::warn!(%epoch, "owner: ownership not confirmed, starts are withheld if this lasts: {e}");
            None
        }
    }
}
