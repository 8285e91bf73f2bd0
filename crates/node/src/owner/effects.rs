use std::collections::HashMap;
use std::sync::Arc;

use lagoon_core::unit::Millis;
use lagoon_jobs::advice::AdviceResponse;
use lagoon_jobs::dispatch::{AdviceRequest, Effect, StartRequest, StopRequest};
use lagoon_jobs::fleet::ExecutorSlot;
use lagoon_jobs::id::ExecutorId;
use lagoon_jobs::run::StartOutcome;
use lagoon_wire::v1::{AskAdviserRequest, AskAdviserResponse};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;

use crate::context::Context;
use crate::owner::Shard;
use crate::owner::look_up_job::look_up_job;

/// Starts in flight to one executor, which keeps its connections far below its limit of 64.
const MAX_STARTS_IN_FLIGHT: usize = 6;
/// Time-out for a call to another member, on top of the time that the adviser takes for the answer.
const PEER_TIMEOUT: Millis = Millis::new(1_500);

/// Executes effects until the task is aborted.
pub(super) async fn execute(
    cx: Context,
    shard: Arc<Shard>,
    mut effects: mpsc::UnboundedReceiver<Effect>,
    step_down: mpsc::Sender<()>,
) {
    let mut calls = JoinSet::new();
    let mut permits: HashMap<ExecutorSlot, Arc<Semaphore>> = HashMap::new();
    let new_permits = || Arc::new(Semaphore::new(MAX_STARTS_IN_FLIGHT));
    loop {
        let effect = tokio::select! {
            effect = effects.recv() => effect,
            Some(_) = calls.join_next() => continue,
        };
        match effect {
            Some(Effect::Start(start)) => {
                let permits = permits
                    .entry(start.slot)
                    .or_insert_with(new_permits)
                    .clone();
                calls.spawn(send_start(cx.clone(), shard.clone(), start, permits));
            }
            Some(Effect::Stop(stop)) => {
                calls.spawn(send_stop(cx.clone(), shard.clone(), stop));
            }
            Some(Effect::RequestAdvice(req)) => {
                calls.spawn(request_advice(cx.clone(), shard.clone(), req));
            }
            Some(Effect::LookUpJob(id)) => {
                calls.spawn(look_up_job(cx.clone(), shard.clone(), id));
            }
            Some(Effect::StepDown) => {
                // If the channel is full, a request to step down is already pending.
                let _ = step_down.try_send(());
            }
            None => return,
        }
    }
}

async fn send_start(cx: Context, shard: Arc<Shard>, req: StartRequest, permits: Arc<Semaphore>) {
    let _permit = permits.acquire().await;
    let started_at = cx.clock.now();
    let outcome = match shard.with(|dispatcher| dispatcher.may_send(&req, started_at)) {
        true => cx.executors.start(&req).await,
        false => StartOutcome::Withheld,
    };
    // The age of the connection in the outcome counts from now, not from when the lock is free.
    let ended_at = cx.clock.now();
    let label = match outcome {
        StartOutcome::Started { .. } => "started",
        StartOutcome::Refused(_) => "refused",
        StartOutcome::NotSent => "not_sent",
        StartOutcome::Withheld => "withheld",
        StartOutcome::Unknown { .. } => "unknown",
    };
    cx.metrics
        .observe("executor.start", label, ended_at.since(started_at));
    shard.change(|dispatcher| dispatcher.started(&req, outcome, ended_at));
    // A hold may be waiting to learn which incarnation of the executor has this run.
    shard.waker(req.slot).notify_one();
}

async fn send_stop(cx: Context, shard: Arc<Shard>, req: StopRequest) {
    cx.metrics.count("executor.stops", 1);
    match cx.executors.stop(&req).await {
        Ok(()) => shard.change(|dispatcher| dispatcher.stop_confirmed(&req, cx.clock.now())),
        Err(e) => {
            tracing::warn!(task = %req.task, run = %req.number, "owner: stop of a run not confirmed, it is repeated: {e}");
        }
    }
}

async fn request_advice(cx: Context, shard: Arc<Shard>, req: AdviceRequest) {
    let started_at = cx.clock.now();
    let executors: Vec<ExecutorId> = req.executors.iter().map(|(_, id)| id.clone()).collect();
    let response = match req.member == *cx.member() {
        true => match cx.adviser.ask(req.step, &executors, req.cost).await {
            Ok(advice) => Some(advice),
            Err(e) => {
                tracing::warn!(step = %req.step, "owner: adviser did not answer: {e}");
                None
            }
        },
        false => request_advice_from_peer(&cx, &req, &executors).await,
    };
    let label = if response.is_some() {
        "answered"
    } else {
        "failed"
    };
    cx.metrics
        .observe("adviser.question", label, cx.clock.now().since(started_at));
    shard.change(|dispatcher| dispatcher.advice_received(&req, response.as_ref(), cx.clock.now()));
}

async fn request_advice_from_peer(
    cx: &Context,
    req: &AdviceRequest,
    executors: &[ExecutorId],
) -> Option<AdviceResponse> {
    let cell = cx.current_cell();
    let address = cell.members.get(&req.member)?.address;
    let peer_req = AskAdviserRequest {
        step: req.step.to_string(),
        executors: executors.iter().map(ToString::to_string).collect(),
        cost_ms: req.cost.get(),
    };
    let limit = PEER_TIMEOUT.saturating_add(req.cost).to_duration();
    let mut client = cx.peers.client(address);
    match tokio::time::timeout(limit, client.ask_adviser(peer_req)).await {
        Ok(Ok(response)) => decode_advice(response.into_inner()),
        Ok(Err(e)) => {
            tracing::warn!(step = %req.step, member = %req.member, "owner: request for advice through another member failed: {e}");
            None
        }
        Err(_) => {
            tracing::warn!(step = %req.step, member = %req.member, "owner: request for advice through another member timed out");
            None
        }
    }
}

fn decode_advice(response: AskAdviserResponse) -> Option<AdviceResponse> {
    let rows = response.good.into_iter().filter_map(|row| {
        let ticket = match row.ticket.parse() {
            Ok(ticket) => ticket,
            Err(never) => match never {},
        };
        Some((row.executor.parse().ok()?, ticket))
    });
    response.answered.then(|| AdviceResponse {
        good: rows.collect(),
        valid: Millis::new(response.valid_ms),
    })
}
