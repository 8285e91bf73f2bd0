//! Rows of the tables `shards`, `workers` and `executors`.

use lagoon_core::unit::{Bytes, Millicores};
use lagoon_language::syntax::{Table, Value};
use lagoon_wire::convert::resources_from_wire;
use lagoon_wire::v1;

use crate::query::Row;
use crate::query::row::{dimension, number, text};
use crate::schedulers::{Snapshot, domain_of};

pub(super) fn shard_rows(snapshot: &Snapshot) -> Vec<Row> {
    let shards = snapshot.shards().into_iter();
    shards
        .map(|(_, shard)| Row::new(Table::Shards, |field| shard_value(shard, field)))
        .collect()
}

fn shard_value(shard: &v1::ShardStatus, field: &str) -> Option<Value> {
    match field {
        "shard" => text(&shard.shard),
        "domain" => text(domain_of(&shard.shard)),
        "state" => text(&shard.state),
        "owner" => text(&shard.owner),
        "epoch" => number(shard.epoch),
        "queued" => number(shard.queued),
        "running" => number(shard.running),
        "unresolved" => number(shard.unresolved),
        "tickets" => number(shard.tickets),
        "unrecorded" => number(shard.unrecorded),
        "workers" => number(shard.workers.len() as u64),
        "executors" => number(shard.executors.len() as u64),
        _ => None,
    }
}

pub(super) fn worker_rows(snapshot: &Snapshot) -> Vec<Row> {
    let workers = snapshot.workers();
    workers
        .map(|(shard, worker)| Row::new(Table::Workers, |field| worker_value(shard, worker, field)))
        .collect()
}

fn worker_value(shard: &v1::ShardStatus, worker: &v1::WorkerStatus, field: &str) -> Option<Value> {
    let cores = |part: &Option<v1::Resources>| {
        Some(Value::Cores(Millicores::new(part.as_ref()?.cpu_millicores)))
    };
    let size =
        |part: &Option<v1::Resources>| Some(Value::Size(Bytes::new(part.as_ref()?.memory_bytes)));
    match field {
        "worker" => text(&worker.worker),
        "host" => text(&worker.host),
        "rack" => text(&worker.rack),
        "domain" => text(domain_of(&shard.shard)),
        "shard" => text(&shard.shard),
        "state" => text(&worker.state),
        "epoch" => number(worker.epoch),
        "claimed_cpu" => cores(&worker.claimed),
        "claimed_memory" => size(&worker.claimed),
        "observed_cpu" => cores(&worker.observed),
        "observed_memory" => size(&worker.observed),
        "closed" => text(worker.closed_reasons.join(", ")),
        name => dimension(&resources_from_wire(worker.capacity.as_ref()?), name),
    }
}

pub(super) fn executor_rows(snapshot: &Snapshot) -> Vec<Row> {
    let shards = snapshot.shards().into_iter();
    let executors = shards.flat_map(|(_, shard)| {
        shard
            .executors
            .iter()
            .map(move |executor| (shard, executor))
    });
    executors
        .map(|(shard, executor)| {
            Row::new(Table::Executors, |field| {
                executor_value(shard, executor, field)
            })
        })
        .collect()
}

fn executor_value(
    shard: &v1::ShardStatus,
    executor: &v1::ExecutorStatus,
    field: &str,
) -> Option<Value> {
    match field {
        "executor" => text(&executor.executor),
        "service" => text(&executor.service),
        "worker" => text(&executor.worker),
        "domain" => text(domain_of(&shard.shard)),
        "shard" => text(&shard.shard),
        "slots" => number(executor.slots),
        "in_use" => number(executor.in_use),
        _ => None,
    }
}
