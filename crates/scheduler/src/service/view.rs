use lagoon_core::shard::{ShardView, WorkView, WorkerView};
use lagoon_wire::convert::{resources_to_wire, spec_to_wire, state_to_wire};
use lagoon_wire::v1;

pub(super) fn work_status(view: &WorkView) -> v1::WorkStatus {
    let (state, outcome) = state_to_wire(&view.state);
    v1::WorkStatus {
        work: view.work.to_string(),
        state,
        outcome,
        reason: view.reason.clone(),
        spec: Some(spec_to_wire(&view.spec)),
        workers: view.workers.iter().map(ToString::to_string).collect(),
        accepted_at: view.accepted_at.as_millis(),
        started_at: view.started_at.map(|at| at.as_millis()),
    }
}

pub(super) fn shard_status(view: &ShardView) -> v1::ShardStatus {
    let executors = view.executors.iter().map(|executor| v1::ExecutorStatus {
        executor: executor.executor.to_string(),
        service: executor.service.to_string(),
        worker: executor.worker.to_string(),
        slots: executor.slots,
        in_use: executor.in_use,
    });
    v1::ShardStatus {
        shard: view.shard.to_string(),
        state: view.phase.to_string(),
        owner: view.owner.to_string(),
        epoch: view.epoch.get(),
        queued: view.queued,
        running: view.running,
        unresolved: view.unresolved,
        tickets: view.tickets,
        workers: view.workers.iter().map(worker_status).collect(),
        executors: executors.collect(),
        unrecorded: view.unrecorded,
    }
}

fn worker_status(view: &WorkerView) -> v1::WorkerStatus {
    v1::WorkerStatus {
        worker: view.worker.to_string(),
        host: view.host.to_string(),
        rack: view.rack.to_string(),
        state: view.phase.to_string(),
        epoch: view.epoch.map(|epoch| epoch.get()).unwrap_or_default(),
        capacity: Some(resources_to_wire(&view.capacity)),
        claimed: Some(resources_to_wire(&view.allocated)),
        observed: Some(resources_to_wire(&view.observed)),
        closed_reasons: view.closed.iter().map(ToString::to_string).collect(),
    }
}
