//! Clients, ids and requests for the tests of the fakes.

#![allow(dead_code, reason = "each test crate uses only some helpers")]

use lagoon_core::id::{Epoch, ProcessId, Sequence, ShardId, TaskId, WorkerId};
use lagoon_core::unit::{Bytes, Millicores, Millis, Resources};
use lagoon_platform::worker::{
    LeaseOutcome, LeaseRequest, LeaseResponse, ShardEpoch, StartOutcome, StartRequest,
};
use lagoon_platform::{ClientSettings, Transport, WorkerClient};
use lagoon_standin::workers::{WorkerSettings, WorkersHandle, WorkersSettings};

/// Returns a transport with a request timeout that is short enough for tests.
pub(crate) fn transport(process: &str) -> Transport {
    Transport::new(ClientSettings {
        request_timeout: Millis::new(2_000),
        process: Some(process.parse().unwrap()),
        ..ClientSettings::default()
    })
}

/// Two workers with 4 cores each, and a client for each.
pub(crate) struct Fleet {
    pub(crate) handle: WorkersHandle,
    pub(crate) clients: [WorkerClient; 2],
}

impl Fleet {
    pub(crate) async fn bind() -> Self {
        let workers = [worker(0), worker(1)].map(|worker| WorkerSettings {
            worker,
            rack: "r0".parse().unwrap(),
            capacity: cores(4),
        });
        let handle = WorkersHandle::bind(WorkersSettings {
            workers: workers.into(),
            usage_lag: Millis::ZERO,
            ..WorkersSettings::default()
        });
        let handle = handle.await.unwrap();
        let transport = transport("p1");
        let client = |index| WorkerClient::new(handle.endpoint(&worker(index)), transport.clone());
        let clients = [client(0), client(1)];
        Self { handle, clients }
    }

    /// Obtains a lease of one minute on worker `index` for process `p1`.
    pub(crate) async fn lease(&self, index: usize) -> LeaseResponse {
        granted(self.clients[index].lease(&lease("p1")).await.unwrap())
    }

    pub(crate) async fn start(&self, index: usize, req: &StartRequest) -> StartOutcome {
        self.clients[index].start(req).await.unwrap()
    }
}

pub(crate) fn worker(index: usize) -> WorkerId {
    format!("w{index}").parse().unwrap()
}

pub(crate) fn cores(count: u64) -> Resources {
    Resources::new(Millicores::new(count * 1_000), Bytes::new(count << 30))
}

pub(crate) fn shard() -> ShardId {
    "cluj:0".parse().unwrap()
}

pub(crate) fn task(number: u32) -> TaskId {
    format!("w:cluj:0:1:{number}:0").parse().unwrap()
}

pub(crate) fn lease(holder: &str) -> LeaseRequest {
    LeaseRequest {
        holder: holder.parse::<ProcessId>().unwrap(),
        shard: shard(),
        shard_epoch: Epoch::new(1),
        known_epoch: None,
        ttl_ms: Millis::new(60_000),
        task_ttl_ms: Millis::new(60_000),
        known_sequence: Sequence::default(),
        renew_tasks_of: Vec::new(),
    }
}

pub(crate) fn granted(outcome: LeaseOutcome) -> LeaseResponse {
    match outcome {
        LeaseOutcome::Granted(response) => *response,
        LeaseOutcome::Refused(refusal) => panic!("refused: {refusal:?}"),
    }
}

/// Returns a request to start a task that uses one core for one minute.
pub(crate) fn start(epoch: Epoch, number: u32) -> StartRequest {
    StartRequest {
        epoch,
        task: task(number),
        shard: shard(),
        shard_epoch: Epoch::new(1),
        resources: cores(1),
        run_ms: Millis::new(60_000),
        payload: "echo:text".into(),
    }
}

pub(crate) fn owner() -> ShardEpoch {
    ShardEpoch {
        shard: shard(),
        shard_epoch: Epoch::new(1),
    }
}
