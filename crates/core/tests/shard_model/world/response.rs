use lagoon_core::code::{Refusal, ResultCode};
use lagoon_core::id::{Epoch, Incarnation, WorkId};
use lagoon_core::shard::{
    HeartbeatReport, RequestResult, Shard, StartResult, StoreResponse, TaskReport,
};
use lagoon_core::unit::{Resources, Timestamp};

use super::super::worker::{TASK_TTL, TTL, Worker};

use super::EXECUTOR;
use super::ids::worker_id;

/// Response to a call, in flight to the process that made it.
pub(super) enum Response {
    Lease {
        worker: usize,
        sent_at: Timestamp,
        granted: Result<Granted, bool>,
    },
    LeaseLost {
        worker: usize,
    },
    Start {
        worker: usize,
        task: lagoon_core::id::TaskId,
        result: StartResult,
    },
    Fence {
        worker: usize,
        incarnation: Incarnation,
        tasks: Vec<TaskReport>,
    },
    Request {
        work: WorkId,
        result: RequestResult,
    },
    Status(u32),
    Store(StoreResponse),
}

pub(super) struct Granted {
    pub(super) epoch: Epoch,
    pub(super) incarnation: Incarnation,
    pub(super) tasks: Vec<TaskReport>,
    pub(super) in_use: Resources,
}

/// Delivers a response to the shard that made the call.
pub(super) fn deliver_response(shard: &mut Shard, response: Response, now: Timestamp) {
    match response {
        Response::Lease {
            worker,
            sent_at,
            granted: Ok(granted),
        } => {
            let report = HeartbeatReport {
                sent_at,
                epoch: granted.epoch,
                incarnation: granted.incarnation,
                rack: "r0".parse().unwrap(),
                capacity: Worker::capacity(),
                ttl: TTL,
                task_ttl: TASK_TTL,
                full: true,
                sequence: lagoon_core::id::Sequence::new(1),
                tasks: granted.tasks,
                forgotten: Vec::new(),
                observed: granted.in_use,
            };
            shard.on_heartbeat(&worker_id(worker), report, now);
        }
        Response::Lease {
            worker,
            granted: Err(superseded),
            ..
        } => match superseded {
            true => shard.on_superseded(Refusal::new(ResultCode::NotOwner, "a later owner")),
            false => shard.on_lease_refused(&worker_id(worker), now),
        },
        Response::LeaseLost { worker } => shard.on_heartbeat_lost(&worker_id(worker)),
        Response::Start {
            worker,
            task,
            result,
        } => {
            shard.on_start(&worker_id(worker), &task, result, now);
        }
        Response::Fence {
            worker,
            incarnation,
            tasks,
        } => {
            shard.on_fenced(&worker_id(worker), incarnation, tasks, now);
        }
        Response::Request { work, result } => {
            shard.on_request(&EXECUTOR.parse().unwrap(), &work, result, now);
        }
        Response::Status(in_use) => {
            shard.on_executor_status(&EXECUTOR.parse().unwrap(), in_use, now);
        }
        Response::Store(response) => shard.on_store(response, now),
    }
}
