use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use lagoon_adapter::{EXECUTOR_PREFIX, UnreadableItems, decode_entry};
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
use crate::owner::follow_executors::log_unreadable;
use crate::owner::hold_response::HoldResponse;
use crate::owner::run::WatchStart;

/// Lease that a hold grants to runs, long enough for a new owner to reach the executors before it expires.
const RUN_LEASE: Millis = Millis::new(5_000);
/// Longest time after which an executor may still carry out a request that was not answered, by the platform's rules.
const MAX_REQUEST_DELAY: Millis = Millis::new(12_000);
/// Time for which a hold waits for an ended run; two holds may be lost within a lease.
const HOLD_WAIT: Millis = Millis::new(1_500);
/// Time after the last confirmation of its ownership in which an owner renews leases of runs, so that runs survive most
/// outages of the store. A later owner waits for this time plus the lease.
const LEASE_RENEWAL_WINDOW: Millis = Millis::new(3_000);
/// Time for which the cancellation of a job that is not stored is kept. A write that was not answered may take effect seconds later,
/// and its caller may repeat the submission until its own deadline.
const CANCELLATION_RETENTION: Millis = Millis::new(30_000);
/// Time without progress after which a run counts as stalled; above the time for which a gang waits for all its tasks.
const STALL_TIMEOUT: Millis = Millis::new(4_500);
/// Executors per lane of records. With a store in another region a lane makes about 13 writes per second with 15 ended jobs
/// each, and 100 executors end about 50 jobs per second.
const EXECUTORS_PER_LANE: usize = 100;
/// Time without a further response after which placement begins without the unreported executors.
const RESPONSE_GAP_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest wait for the lists of runs before placement begins.
const RECOVERY_HOLD_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Recovers jobs from the store and runs from the executors.
pub(super) async fn recover(
    cx: &Context,
    claim: Claim,
) -> Result<(Dispatcher<Serving>, WatchStart), PlatformError> {
    let epoch = claim.epoch;
    let ((executors, executors_at), (records, _)) = tokio::try_join!(
        cx.store.list_foreign(EXECUTOR_PREFIX),
        cx.store.list(Keys::EXECUTORS)
    )?;
    let current = cx.current_limits();
    let limits = DispatchLimits {
        lease: RUN_LEASE.min(current.max_lease),
        max_lease: current.max_lease,
        max_request_delay: MAX_REQUEST_DELAY,
        hold_wait: HOLD_WAIT,
        retention: current.retention,
        cancellation_retention: CANCELLATION_RETENTION,
        owner_lease: LEASE_TTL.max(current.min_store_lease),
        lease_renewal_window: LEASE_RENEWAL_WINDOW,
        stall_timeout: STALL_TIMEOUT,
        record_lanes: (executors.len() / EXECUTORS_PER_LANE + 1).min(RecordLane::COUNT),
    };
    let mut dispatcher = Dispatcher::open(epoch, limits, cx.clock.now());
    dispatcher.confirm_ownership(claim.sent_at);
    dispatcher.set_policy(wait_for_policy(cx).await);
    let mut unreadable = UnreadableItems::default();
    for item in &executors {
        match decode_entry(&item.key, &item.value) {
            Ok(entry) => {
                dispatcher.observe(entry, cx.clock.now());
            }
            Err(reason) => unreadable.push(&item.key, reason),
        }
    }
    log_unreadable(&unreadable);
    for item in &records {
        match serde_json::from_slice(&item.value) {
            Ok(record) => dispatcher.load_executor(record, cx.clock.now()),
            Err(e) => {
                tracing::error!(key = %item.key, "owner: stored executor record is malformed, it is ignored: {e}")
            }
        }
    }
    // Fenced executors accept no start of an earlier owner, so the jobs read after this include every job with a run.
    let responses = hold_all_executors(cx, &mut dispatcher).await;
    let (jobs, confirmation) =
        tokio::try_join!(load_jobs(cx, &mut dispatcher), confirm(cx, epoch))?;
    match confirmation {
        Confirmation::Owned(sent_at) => dispatcher.confirm_ownership(sent_at),
        Confirmation::Lost => dispatcher.fenced(),
    }
    for response in responses {
        let now = cx.clock.now();
        match response.outcome {
            HoldOutcome::Listed(listing) => {
                dispatcher.listed(response.slot, &listing, response.sent_at, now);
            }
            HoldOutcome::OtherExecutor => dispatcher.replaced(response.slot, response.address, now),
            HoldOutcome::Fenced => {
                tracing::warn!(slot = %response.slot, %epoch, "owner: executor refused the hold because it has seen a later owner");
            }
        }
    }
    let unreported = dispatcher.unreported();
    if unreported > 0 {
        tracing::warn!(
            unreported,
            "owner: some executors did not list their runs; placement begins without them"
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
            (_, Err(e)) => {
                tracing::error!(key = %item.key, "owner: stored progress is malformed, it is ignored: {e}")
            }
            (None, Ok(_)) => {
                tracing::error!(key = %item.key, "owner: key under the prefix of progress is malformed, it is ignored")
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
                Err(e) => {
                    tracing::error!(job = %id, "owner: stored job is malformed, it is ignored: {e}")
                }
            },
            None => {
                tracing::error!(key = %item.key, "owner: key under the prefix of jobs is malformed, it is ignored")
            }
        }
    }
    for (id, progress) in known {
        match progress.outcome {
            Some(state) => dispatcher.load_ended(id, state, now),
            None => {
                tracing::error!(job = %id, "owner: stored progress has neither a job nor a final state, it is ignored")
            }
        }
    }
    for id in cancelled {
        dispatcher.cancel(id, now);
    }
    Ok(at)
}

/// Holds every executor under the new epoch, which fences earlier owners, and returns the responses.
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
        while let Ok(Some(response)) =
            tokio::time::timeout(RESPONSE_GAP_TIMEOUT, holds.join_next()).await
        {
            match response {
                Ok(response) => responses.extend(response),
                Err(e) => tracing::error!("owner: task of a hold failed: {e}"),
            }
        }
    };
    // Executors that have not answered are held again later. Until then, nothing that may run there starts elsewhere.
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
            tracing::warn!(executor = %id, "owner: first hold failed, the runs of the executor are not known yet: {e}");
            None
        }
    }
}
