use lagoon_core::id::WorkerId;
use lagoon_core::shard::{ExecutorSpec, WorkerSpec};

use super::super::executor::SLOTS;
use super::super::worker::Worker;

use super::{EXECUTOR, WORKERS};

pub(super) fn worker_id(index: usize) -> WorkerId {
    format!("w{index}").parse().unwrap()
}

pub(super) fn worker_index(worker: &WorkerId) -> usize {
    worker.as_str()[1..].parse().unwrap()
}

pub(super) fn worker_specs() -> Vec<WorkerSpec> {
    let executor = ExecutorSpec {
        executor: EXECUTOR.parse().unwrap(),
        service: "s".parse().unwrap(),
        slots: SLOTS,
        connections: 4,
    };
    let spec = |index| WorkerSpec {
        worker: worker_id(index),
        host: format!("h{index}").parse().unwrap(),
        address: format!("10.0.0.{index}:1"),
        rack: "r0".parse().unwrap(),
        capacity: Worker::capacity(),
        executors: if index == 0 {
            vec![executor.clone()]
        } else {
            Vec::new()
        },
    };
    (0..WORKERS).map(spec).collect()
}
