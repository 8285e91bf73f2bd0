//! Workers, work and policy used by the tests.

use lagoon_core::id::{PolicyVersion, WorkerId};
use lagoon_core::policy::{Policy, ServicePolicy, TeamPolicy, Weight};
use lagoon_core::shard::{Deduplication, ExecutorSpec, Submission, WorkerSpec};
use lagoon_core::unit::{Bytes, Millicores, Millis, Resources, Timestamp};
use lagoon_core::work::{Repeatability, WorkKind, WorkSpec};

pub(crate) const WORKER: &str = "w1";
/// A worker whose home is another shard.
pub(crate) const OTHER_WORKER: &str = "w2";
const SERVICE: &str = "planner";
const TEAM: &str = "turf";
pub(super) const CAPACITY: Resources = Resources::new(Millicores::new(4_000), Bytes::new(8 << 30));

pub(crate) fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

pub(crate) fn request(deduplication: Deduplication) -> Submission {
    submission(deduplication, WorkKind::Service, Resources::ZERO, true)
}

/// A gang job whose tasks each use half of a worker.
pub(crate) fn gang(key: &str, task_count: u32) -> Submission {
    let mut job = batch(key);
    job.spec.kind = WorkKind::Gang;
    job.spec.task_count = task_count;
    job.fingerprint = job.spec.fingerprint();
    job
}

/// A batch run that uses half of a worker.
pub(crate) fn batch(key: &str) -> Submission {
    let half = Resources::new(Millicores::new(2_000), Bytes::new(1 << 30));
    let deduplication = Deduplication::Journal(key.parse().unwrap());
    submission(deduplication, WorkKind::Batch, half, false)
}

fn submission(
    deduplication: Deduplication,
    kind: WorkKind,
    resources: Resources,
    wait_for_end: bool,
) -> Submission {
    let spec = WorkSpec {
        kind,
        team: TEAM.parse().unwrap(),
        priority: Default::default(),
        deadline: None,
        resources,
        task_count: 1,
        run_time: Millis::new(1_000),
        repeatability: Repeatability::AtMostOnce,
        placement: Default::default(),
        service: (kind == WorkKind::Service).then(|| SERVICE.parse().unwrap()),
        payload: String::new(),
    };
    let fingerprint = spec.fingerprint();
    Submission {
        deduplication,
        spec,
        fingerprint,
        wait_for_end,
    }
}

pub(crate) fn worker(name: &str) -> WorkerSpec {
    let worker: WorkerId = name.parse().unwrap();
    WorkerSpec {
        worker,
        host: "h1".parse().unwrap(),
        address: "127.0.0.1:7100".to_owned(),
        rack: "r1".parse().unwrap(),
        capacity: CAPACITY,
        executors: vec![ExecutorSpec {
            executor: format!("{name}-e").parse().unwrap(),
            service: SERVICE.parse().unwrap(),
            slots: 8,
            connections: 60,
        }],
    }
}

pub(super) fn policy() -> Policy {
    let team = TeamPolicy {
        weight: Weight::new(1),
        quota: Resources::new(Millicores::new(200_000), Bytes::new(512 << 30)),
        queue_limit: 10_000,
    };
    Policy {
        version: PolicyVersion::new(1),
        teams: [(TEAM.parse().unwrap(), team)].into(),
        services: [(SERVICE.parse().unwrap(), ServicePolicy::default())].into(),
        ..Policy::default()
    }
}
