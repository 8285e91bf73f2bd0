use std::sync::Arc;
use std::time::Duration;

use lagoon_adapter::store::Revision;
use lagoon_jobs::dispatch::{Dispatcher, Serving};
use lagoon_jobs::id::Epoch;
use lagoon_jobs::record::RecordLane;
use lagoon_process::shutdown::Signal;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use crate::cell::{Claim, LeaseHandle, claim, wait_to_claim};
use crate::context::Context;
use crate::owner::hand_over::{release_ownership, wait_for_stronger};
use crate::owner::recorder::Recorder;
use crate::owner::{
    Shard, ShardHandle, confirm, drive_executor, effects, follow_cell, follow_executors,
    follow_jobs, identify_executors, recover,
};

/// Delay after a claim that failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay before a placement pass, in which changes are batched. A pass takes 1 ms with 350 executors.
const PLAN_DELAY: Duration = Duration::from_millis(8);
/// Delay after a pass as a multiple of its duration, which leaves most of the CPU to calls and lease renewals.
const PLAN_IDLE_FACTOR: u32 = 2;
/// Longest time between two placement passes, because tickets and suspect marks of executors expire without an event.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two ticks of the dispatcher, which handle time-outs.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Revisions at which the watches of the store start.
#[derive(Debug, Clone, Copy)]
pub(super) struct WatchStart {
    pub(super) jobs: Revision,
    pub(super) executors: Revision,
}

/// Claims the cell whenever it has no owner, and serves it until the node stops.
pub(crate) async fn run(
    cx: Context,
    mut lease: LeaseHandle,
    shard_handle: ShardHandle,
    mut stop: Signal,
) {
    let mut served = None;
    loop {
        let lease_id = tokio::select! {
            lease_id = wait_to_claim(&cx, &mut lease, served) => lease_id,
            () = stop.wait() => return,
        };
        match claim(&cx, lease_id, served).await {
            Ok(Some(claim)) => {
                served = Some(claim.epoch);
                tracing::info!(epoch = %claim.epoch, "owner: this member owns the cell");
                tokio::select! {
                    () = serve(&cx, claim, &lease, &shard_handle) => {}
                    () = wait_for_stronger(&cx) => {
                        tracing::info!(epoch = %claim.epoch, "owner: handing the cell over to a stronger member");
                    }
                    () = stop.wait() => {
                        shard_handle.set(None);
                        tracing::info!(member = %cx.member(), "owner: handing the cell over because this node is stopping");
                        return;
                    }
                }
                shard_handle.set(None);
                tracing::warn!(epoch = %claim.epoch, "owner: stepped down, this member no longer owns the cell");
                tokio::select! {
                    () = release_with_retry(&cx, claim.epoch) => {}
                    () = stop.wait() => return,
                }
            }
            Ok(None) => {
                tracing::info!("owner: another member claimed the cell first");
                // Until the watch reports the other claim, a new one would only fail.
                tokio::time::sleep(RETRY_DELAY).await;
            }
            Err(e) => {
                tracing::warn!("owner: claim of the cell failed, it is retried: {e}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Recovers the state of the cell and places work until this member steps down.
async fn serve(cx: &Context, claim: Claim, lease: &LeaseHandle, shard_handle: &ShardHandle) {
    let (dispatcher, watch_start) = loop {
        match recover::recover(cx, claim).await {
            Ok(recovered) => break recovered,
            Err(e) => {
                tracing::warn!("owner: recovery failed, it is retried: {e}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
        let owner = cx.current_cell().owner.clone();
        if owner.is_some_and(|owner| owner.epoch > claim.epoch) {
            return;
        }
    };
    let mut tasks = JoinSet::new();
    let (step_down, mut stepped_down) = mpsc::channel(1);
    let recorder = Arc::new(Recorder::new(cx.clone(), claim, step_down.clone()));
    let shard = open(cx, dispatcher, &mut tasks, step_down.clone());
    tasks.spawn(follow_jobs::follow(
        cx.clone(),
        shard.clone(),
        watch_start.jobs,
    ));
    tasks.spawn(follow_executors::follow(
        cx.clone(),
        shard.clone(),
        watch_start.executors,
    ));
    for lane in RecordLane::all() {
        tasks.spawn(recorder.clone().run(shard.clone(), lane));
    }
    tasks.spawn(recorder.clone().run_fleet(shard.clone()));
    tasks.spawn(confirm::keep_confirmed(
        cx.clone(),
        shard.clone(),
        step_down.clone(),
    ));
    tasks.spawn(follow_cell::follow(
        cx.clone(),
        shard.clone(),
        recorder,
        lease.clone(),
        step_down,
    ));
    shard_handle.set(Some(shard));
    // The tasks hold the senders and run until they are aborted, so this waits for a request to step down.
    let _ = stepped_down.recv().await;
    tasks.shutdown().await;
}

fn open(
    cx: &Context,
    dispatcher: Dispatcher<Serving>,
    tasks: &mut JoinSet<()>,
    step_down: mpsc::Sender<()>,
) -> Arc<Shard> {
    let executors = dispatcher.executors();
    let (shard, rx) = Shard::open(dispatcher);
    tasks.spawn(identify_executors::run(cx.clone(), shard.clone()));
    tasks.spawn(effects::execute(cx.clone(), shard.clone(), rx, step_down));
    tasks.spawn(plan(cx.clone(), shard.clone()));
    tasks.spawn(tick(cx.clone(), shard.clone()));
    tasks.spawn(drive_executor::drive_all(
        cx.clone(),
        shard.clone(),
        executors,
    ));
    shard
}

async fn plan(cx: Context, shard: Arc<Shard>) {
    let mut pause = PLAN_DELAY;
    loop {
        let _ = tokio::time::timeout(MAX_PLAN_INTERVAL, shard.changed.notified()).await;
        tokio::time::sleep(pause).await;
        let started_at = cx.clock.now();
        shard.plan(|dispatcher| dispatcher.plan(cx.clock.now()));
        let took = cx.clock.now().since(started_at);
        cx.metrics.observe("plan", "done", took);
        pause = PLAN_DELAY.max(took.to_duration() * PLAN_IDLE_FACTOR);
    }
}

async fn tick(cx: Context, shard: Arc<Shard>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shard.change(|dispatcher| dispatcher.tick(cx.clock.now()));
    }
}

/// Releases the ownership, and retries until the store answers. The dispatcher is gone, so no effect follows.
async fn release_with_retry(cx: &Context, epoch: Epoch) {
    while let Err(e) = release_ownership(cx, epoch).await {
        tracing::warn!(%epoch, "owner: release of the ownership failed, it is retried: {e}");
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
