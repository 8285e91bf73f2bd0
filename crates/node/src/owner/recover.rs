use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use lagoon_adapter::{EXECUTOR_PREFIX, decode_entry};
use lagoon_core::unit::Millis;
use lagoon_jobs::dispatch::{
    DispatchLimits, Dispatcher, HoldAction, HoldRequest, Recovering, Serving,
};
use lagoon_jobs::fleet::ExecutorSlot;
use lagoon_jobs::id::{ExecutorId, JobId};
use lagoon_jobs::job::{JobRecord, Progress};
use lagoon_jobs::policy::CellPolicy;
use lagoon_jobs::record::RecordLane;
use lagoon_jobs::run::HoldOutcome;
use lagoon_platform::PlatformError;
use tokio::task::JoinSet;

use crate::cell::{Claim, Keys, LEASE_TTL};
use crate::context::Context;
use crate::owner::confirm::{Confirmation, confirm};
use crate::owner::hold_response::HoldResponse;
use crate::owner::run::WatchStart;

/// Lease that a hold grants to runs: long enough that a successor reaches the executors before runs lapse.
const RUN_LEASE: Millis = Millis::new(5_000);
/// Time for which a hold waits for an end; two may be lost within a lease.
const HOLD_WAIT: Millis = Millis::new(1_500);
/// Time after the last confirmation of its ownership in which an owner renews leases of runs, so that they outlast most
/// outages of the store; a later owner waits for that long and for the lease itself.
const LEASE_RENEWAL_WINDOW: Millis = Millis::new(3_000);
/// Time without progress after which a run counts as stalled; above the time for which a gang waits for members.
const STALL_TIMEOUT: Millis = Millis::new(4_500);
/// Executors whose ends one lane of records takes. With a store in another region a lane makes about 13 writes a second
/// of 15 ended jobs each, and 100 executors end about 50 jobs a second.
const EXECUTORS_PER_LANE: usize = 100;
/// Time without a further list after which placement begins without the executors that have not answered.
const RESPONSE_GAP_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time that executors have to list their runs before placement begins.
const RECOVERY_HOLD_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Reads back jobs from the store and runs from the executors.
pub(super) async fn recover(
    cx: &Context,
    claim: Claim,
) -> Result<(Dispatcher<Serving>, WatchStart), PlatformError> {
    let epoch = claim.epoch;
    let ((executors, executors_at), (records, _)) = tokio::try_join!(
        cx.store.list(EXECUTOR_PREFIX),
        cx.store.list(Keys::EXECUTORS)
    )?;
    let current = cx.current_limits();
    let limits = DispatchLimits {
        lease: RUN_LEASE.min(current.max_lease),
        max_lease: current.max_lease,
        hold_wait: HOLD_WAIT,
        retention: current.retention,
        owner_lease: LEASE_TTL.max(current.min_store_lease),
        lease_renewal_window: LEASE_RENEWAL_WINDOW,
        stall_timeout: STALL_TIMEOUT,
        record_lanes: (executors.len() / EXECUTORS_PER_LANE + 1).min(RecordLane::COUNT),
    };
    let mut dispatcher = Dispatcher::open(epoch, limits, cx.clock.now());
    dispatcher.confirm_ownership(claim.sent_at);
    dispatcher.set_policy(wait_for_policy(cx).await);
    for item in &executors {
        match decode_entry(&item.key, &item.value) {
            Ok(entry) => {
                dispatcher.observe(entry, cx.clock.now());
            }
            Err(e) => tracing::warn!(key = %item.key, "owner: executor entry ignored: {e}"),
        }
    }
    for item in &records {
        match serde_json::from_slice(&item.value) {
            Ok(record) => dispatcher.load_executor(record, cx.clock.now()),
            Err(e) => {
                tracing::error!(key = %item.key, "owner: executor record is not readable: {e}")
            }
        }
    }
    // Once the executors are fenced no earlier owner starts anything, so each job that runs is in the list read after.
    let responses = hold_all_executors(cx, &mut dispatcher).await;
    let (jobs, confirmation) =
        tokio::try_join!(load_jobs(cx, &mut dispatcher), confirm(cx, epoch))?;
    match confirmation {
        Confirmation::Owned(sent_at) => dispatcher.confirm_ownership(sent_at),
        Confirmation::Lost => dispatcher.fenced(),
    }
    for answer in responses {
        let now = cx.clock.now();
        match answer.outcome {
            HoldOutcome::Listed(listing) => {
                dispatcher.listed(answer.slot, &listing, answer.sent_at, now);
            }
            HoldOutcome::OtherExecutor => dispatcher.replaced(answer.slot, answer.address, now),
            HoldOutcome::Fenced => {
                tracing::warn!(slot = %answer.slot, %epoch, "owner: executor has seen a later owner");
            }
        }
    }
    let unreported = dispatcher.unreported();
    if unreported > 0 {
        tracing::warn!(
            unreported,
            "owner: placement begins without executors that did not answer"
        );
    }
    let watch_start = WatchStart {
        jobs,
        executors: executors_at,
    };
    Ok((dispatcher.serve(cx.clock.now()), watch_start))
}

async fn wait_for_policy(cx: &Context) -> Arc<CellPolicy> {
    let mut policy = cx.policy.subscribe();
    let found = policy.wait_for(Option::is_some).await;
    found
        .map(|policy| policy.clone())
        .ok()
        .flatten()
        .unwrap_or_default()
}

async fn load_jobs(
    cx: &Context,
    dispatcher: &mut Dispatcher<Recovering>,
) -> Result<lagoon_adapter::store::Revision, PlatformError> {
    let (jobs, at) = cx.store.list(Keys::JOBS).await?;
    let (progress, _) = cx.store.list(Keys::PROGRESS).await?;
    let mut known: HashMap<JobId, Progress> = HashMap::new();
    for item in &progress {
        let parsed = serde_json::from_slice(&item.value);
        match (Keys::parse_progress(&item.key), parsed) {
            (Some(id), Ok(progress)) => {
                known.insert(id, progress);
            }
            (_, Err(e)) => tracing::error!(key = %item.key, "owner: progress is not readable: {e}"),
            (None, Ok(_)) => {
                tracing::error!(key = %item.key, "owner: progress under a strange key")
            }
        }
    }
    let now = cx.clock.now();
    let mut cancelled = Vec::new();
    for item in &jobs {
        match Keys::parse_job(&item.key) {
            Some((id, true)) => cancelled.push(id),
            Some((id, false)) => match serde_json::from_slice::<JobRecord>(&item.value) {
                Ok(record) => {
                    let progress = known.remove(&id).unwrap_or_default();
                    dispatcher.load(id, record, &progress, now);
                }
                Err(e) => tracing::error!(job = %id, "owner: job is not readable: {e}"),
            },
            None => tracing::error!(key = %item.key, "owner: job under a strange key"),
        }
    }
    for (id, progress) in known {
        match progress.outcome {
            Some(state) => dispatcher.load_ended(id, state, now),
            None => tracing::error!(job = %id, "owner: progress without its job"),
        }
    }
    for id in cancelled {
        dispatcher.cancel(id, now);
    }
    Ok(at)
}

/// Holds every executor under the new epoch, which fences earlier owners, and returns what they run.
async fn hold_all_executors(
    cx: &Context,
    dispatcher: &mut Dispatcher<Recovering>,
) -> Vec<HoldResponse> {
    let mut holds = JoinSet::new();
    let now = cx.clock.now();
    for (slot, id) in dispatcher.executors() {
        if let HoldAction::Hold(req) = dispatcher.next_hold(slot, false, now) {
            holds.spawn(hold(cx.clone(), slot, id, req));
        }
    }
    let mut responses = Vec::new();
    let collect = async {
        while let Ok(Some(answer)) =
            tokio::time::timeout(RESPONSE_GAP_TIMEOUT, holds.join_next()).await
        {
            match answer {
                Ok(answer) => responses.extend(answer),
                Err(e) => tracing::error!("owner: a hold ended early: {e}"),
            }
        }
    };
    // Executors that are late are heard later; until then nothing that may run there starts elsewhere.
    let _ = tokio::time::timeout(RECOVERY_HOLD_TIMEOUT, collect).await;
    responses
}

async fn hold(
    cx: Context,
    slot: ExecutorSlot,
    id: ExecutorId,
    req: HoldRequest,
) -> Option<HoldResponse> {
    let sent_at = cx.clock.now();
    match cx.executors.hold(&id, &req).await {
        Ok(outcome) => Some(HoldResponse {
            slot,
            address: req.address,
            outcome,
            sent_at,
        }),
        Err(e) => {
            tracing::warn!(executor = %id, "owner: executor did not list its runs: {e}");
            None
        }
    }
}
