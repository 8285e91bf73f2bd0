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

use crate::cell::{Claim, LeaseHandle, claim, wait_for_turn};
use crate::context::Context;
use crate::owner::recorder::Recorder;
use crate::owner::succession::{give_up, wait_for_stronger};
use crate::owner::{
    Office, Shard, confirm, drive_executor, follow_executors, follow_jobs, keep, orders, recover,
};

/// Pause after a claim that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Time in which changes gather before a pass of placement. A pass takes a millisecond at 350 executors.
const PLAN_PAUSE: Duration = Duration::from_millis(8);
/// Pause after a pass as a multiple of its time, so that passes leave most of the processor to answers and leases.
const PLAN_IDLE_FACTOR: u32 = 2;
/// Longest time without a pass of placement, because tickets and rests end by time alone.
const PLAN_EVERY: Duration = Duration::from_millis(100);
/// Time between two checks of what only the passing of time decides.
const TICK_EVERY: Duration = Duration::from_millis(500);

/// Revisions from which the owner follows the store.
#[derive(Debug, Clone, Copy)]
pub(super) struct Followed {
    pub(super) jobs: Revision,
    pub(super) executors: Revision,
}

/// Claims the cell whenever it has no owner, and serves it; ends when the node stops.
pub(crate) async fn run(cx: Context, mut lease: LeaseHandle, office: Office, mut stop: Signal) {
    let mut served = None;
    loop {
        let held = tokio::select! {
            held = wait_for_turn(&cx, &mut lease, served) => held,
            () = stop.wait() => return,
        };
        match claim(&cx, held, served).await {
            Ok(Some(claim)) => {
                served = Some(claim.epoch);
                tracing::info!(epoch = %claim.epoch, "owner: this member owns the cell");
                tokio::select! {
                    () = serve(&cx, claim, &lease, &office) => {}
                    () = wait_for_stronger(&cx) => {
                        tracing::info!(epoch = %claim.epoch, "owner: handing over to a stronger member");
                    }
                    () = stop.wait() => {
                        office.set(None);
                        tracing::info!(member = %cx.member(), "owner: handing over, this node stops");
                        return;
                    }
                }
                office.set(None);
                tracing::warn!(epoch = %claim.epoch, "owner: this member has stepped down");
                tokio::select! {
                    () = give_up_surely(&cx, claim.epoch) => {}
                    () = stop.wait() => return,
                }
            }
            Ok(None) => {
                tracing::info!("owner: another member claimed the cell first");
                // Until the watch reports that claim, another one would only fail.
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            Err(e) => {
                tracing::warn!("owner: claim failed: {e}");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Reads back the state of the cell and places work until this member steps down.
async fn serve(cx: &Context, claim: Claim, lease: &LeaseHandle, office: &Office) {
    let (dispatcher, followed) = loop {
        match recover::recover(cx, claim).await {
            Ok(recovered) => break recovered,
            Err(e) => {
                tracing::warn!("owner: recovery failed: {e}");
                tokio::time::sleep(RETRY_PAUSE).await;
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
        followed.jobs,
    ));
    tasks.spawn(follow_executors::follow(
        cx.clone(),
        shard.clone(),
        followed.executors,
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
    tasks.spawn(keep::keep(
        cx.clone(),
        shard.clone(),
        recorder,
        lease.clone(),
        step_down,
    ));
    office.set(Some(shard));
    // All senders live in the tasks below, which run until they are aborted.
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
    tasks.spawn(orders::carry_out(cx.clone(), shard.clone(), rx, step_down));
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
    let mut pause = PLAN_PAUSE;
    loop {
        let _ = tokio::time::timeout(PLAN_EVERY, shard.changed.notified()).await;
        tokio::time::sleep(pause).await;
        let began = cx.clock.now();
        shard.plan(|dispatcher| dispatcher.plan(cx.clock.now()));
        let took = cx.clock.now().since(began);
        cx.metrics.observe("plan", "done", took);
        pause = PLAN_PAUSE.max(took.to_duration() * PLAN_IDLE_FACTOR);
    }
}

async fn tick(cx: Context, shard: Arc<Shard>) {
    let mut ticks = tokio::time::interval(TICK_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shard.change(|dispatcher| dispatcher.tick(cx.clock.now()));
    }
}

/// Removes the owner's key if it still names this epoch, so that the next member can claim the cell at once. No order follows.
async fn give_up_surely(cx: &Context, epoch: Epoch) {
    while let Err(e) = give_up(cx, epoch).await {
        tracing::warn!(%epoch, "owner: ownership not given up yet: {e}");
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
