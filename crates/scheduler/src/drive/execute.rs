use std::sync::Arc;

use lagoon_core::id::Epoch;
use lagoon_core::shard::Effect;
use lagoon_core::{Refusal, ResultCode};

use crate::cell::ShardCell;
use crate::drive::{borrow, leases, requests, starts};

/// Executes one effect of a change. Each call runs in its own task, which applies the result under the shard's lock.
pub(crate) fn execute(cell: &Arc<ShardCell>, epoch: Epoch, effect: Effect) {
    let cell = cell.clone();
    match effect {
        Effect::Start { worker, task, spec } => {
            tokio::spawn(starts::start(cell, epoch, worker, task, spec));
        }
        Effect::StartForBorrower {
            borrower,
            worker,
            task,
            spec,
        } => {
            let start = starts::start_for(cell, epoch, borrower, worker, task, spec);
            tokio::spawn(start);
        }
        Effect::Borrow { work } => {
            tokio::spawn(borrow::borrow(cell, epoch, work));
        }
        Effect::Stop { worker, task } => {
            tokio::spawn(starts::stop(cell, epoch, worker, task));
        }
        Effect::Acknowledge { worker, tasks } => {
            tokio::spawn(starts::acknowledge(cell, worker, tasks));
        }
        Effect::Request {
            executor,
            work,
            spec,
            timeout,
        } => {
            let run = requests::run(cell, epoch, executor, work, spec, timeout);
            tokio::spawn(run);
        }
        Effect::Poll { executor } => {
            tokio::spawn(requests::poll(cell, epoch, executor));
        }
        Effect::ReleaseLease { worker, epoch } => {
            let call = cell.begin_lease_call();
            tokio::spawn(async move {
                leases::release(&cell, worker, epoch).await;
                drop(call);
            });
        }
        Effect::Commit => cell.commit.notify_one(),
        Effect::Halt(refusal) => halt(&cell, &refusal),
        // `OwnedShard::send_replies` has sent the replies under the lock.
        Effect::Reply { .. } => {}
    }
}

fn halt(cell: &Arc<ShardCell>, refusal: &Refusal) {
    let id = cell.id();
    if refusal.code == ResultCode::NotOwner {
        tracing::warn!("shard: stepping down from {id}, which has a later owner: {refusal}");
        cell.step_down();
        return;
    }
    cell.cx().metrics.count("shard.invariant_broken", 1);
    tracing::error!("shard: {id} stopped after an invariant violation: {refusal}");
}
