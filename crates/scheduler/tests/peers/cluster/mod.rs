//! Schedulers of one failure domain with a fake platform. Each process has its own runtime, so that it can crash at any
//! time.

mod calls;
mod process;
mod settings;

use lagoon_core::id::{ProcessId, ShardId};
use lagoon_core::membership::preferred_process;
use lagoon_core::unit::Millis;
use lagoon_platform::store::Precondition;
use lagoon_platform::{ClientSettings, StoreClient, Transport};
use lagoon_standin::platform::PlatformHandle;
use tokio::time::{sleep, timeout};

use self::process::Process;
pub(crate) use self::settings::{SHARDS, Timing, WORKERS};

/// Longest wait for any condition; reached only if a test fails.
const WAIT_TIMEOUT: Millis = Millis::new(15_000);
const POLL_INTERVAL: Millis = Millis::new(20);

/// Running scheduler processes and their platform.
pub(crate) struct Cluster {
    pub(crate) platform: PlatformHandle,
    timing: Timing,
    processes: Vec<Option<Process>>,
}

impl Cluster {
    /// Starts the platform and the first processes.
    pub(crate) async fn spawn(processes: usize, timing: Timing) -> Self {
        let platform = PlatformHandle::bind(settings::platform()).await.unwrap();
        let transport = Transport::new(ClientSettings::default());
        let store = StoreClient::new(platform.store.endpoint(), transport);
        let policy = serde_json::to_string(&settings::policy()).unwrap();
        store
            .put("policy", &policy, Precondition::Absent, None)
            .await
            .unwrap();
        let mut this = Self {
            platform,
            timing,
            processes: Vec::new(),
        };
        for _ in 0..processes {
            this.start().await;
        }
        for shard in 0..settings::SHARDS {
            this.wait_owner(shard, None).await;
        }
        this
    }

    /// Starts one more process and returns its index.
    pub(crate) async fn start(&mut self) -> usize {
        let index = self.processes.len();
        let peers = self
            .processes
            .iter()
            .flatten()
            .map(|process| process.address);
        let settings = settings::scheduler(index, peers.collect(), &self.platform, self.timing);
        self.processes.push(Some(Process::start(settings).await));
        index
    }

    /// Stops a process gracefully.
    pub(crate) async fn stop(&mut self, index: usize) {
        self.processes[index].take().unwrap().stop().await;
    }

    /// Crashes a process.
    pub(crate) fn crash(&mut self, index: usize) {
        self.processes[index].take().unwrap().crash();
    }

    /// Removes a process, so that it can be stopped while others are in use.
    pub(crate) fn take(&mut self, index: usize) -> Process {
        self.processes[index].take().unwrap()
    }

    /// Returns the index of the process that should own a shard, if the first `processes` are up.
    pub(crate) fn preferred(&self, shard: u16, processes: usize) -> usize {
        let names: Vec<ProcessId> = (0..processes).map(settings::process).collect();
        let preferred = preferred_process(&settings::shard(shard), &names).unwrap();
        names.iter().position(|name| name == preferred).unwrap()
    }

    /// Returns a shard that should be owned by the process `index` of the first `processes`.
    pub(crate) fn shard_of(&self, index: usize, processes: usize) -> u16 {
        let mut shards = 0..settings::SHARDS;
        let found = shards.find(|shard| self.preferred(*shard, processes) == index);
        found.expect("each process should own a shard")
    }

    /// Returns the process that serves a shard and its epoch.
    pub(crate) async fn owner(&self, shard: u16) -> Option<(usize, u64)> {
        let id: ShardId = settings::shard(shard);
        for (index, process) in self.processes.iter().enumerate() {
            let Some(process) = process else { continue };
            let served = process.calls.shards().await;
            let mut served = served.iter().filter(|status| status.state == "serving");
            if let Some(status) = served.find(|status| status.shard == id.to_string()) {
                return Some((index, status.epoch));
            }
        }
        None
    }

    /// Waits until a shard is served, by process `wanted` if given. Returns the owner and its epoch.
    pub(crate) async fn wait_owner(&self, shard: u16, wanted: Option<usize>) -> (usize, u64) {
        let found = async {
            loop {
                match self.owner(shard).await {
                    Some(found) if wanted.is_none_or(|wanted| wanted == found.0) => return found,
                    _ => sleep(POLL_INTERVAL.to_duration()).await,
                }
            }
        };
        let found = timeout(WAIT_TIMEOUT.to_duration(), found).await;
        found.unwrap_or_else(|_| panic!("shard {shard} is not served by {wanted:?}"))
    }

    pub(crate) fn calls(&self, index: usize) -> &calls::Calls {
        &self.processes[index].as_ref().unwrap().calls
    }

    /// Waits until every worker is leased by a shard.
    pub(crate) async fn wait_workers(&self) {
        let all = async || {
            let mut leased = 0;
            for process in self.processes.iter().flatten() {
                for shard in 0..SHARDS {
                    leased += process.calls.leased_workers(shard).await;
                }
            }
            leased == WORKERS
        };
        wait_until("all workers are leased", all).await;
    }

    /// Waits until a job has ended, at any owner of its shard. Returns its output or the name of the refusal.
    pub(crate) async fn wait_output(&self, shard: u16, work: &str) -> String {
        let ended = async {
            loop {
                let (owner, _) = self.wait_owner(shard, None).await;
                if let Some(output) = self.calls(owner).output(work).await {
                    return output;
                }
                sleep(POLL_INTERVAL.to_duration()).await;
            }
        };
        with_timeout("the job ended", ended).await
    }

    /// Stops everything, and asserts that no request and no task ran twice and that no worker was overcommitted.
    pub(crate) async fn finish(mut self) {
        for process in self.processes.iter_mut().filter_map(Option::take) {
            process.stop().await;
        }
        let runs = self.platform.executors.runs();
        assert!(runs.values().all(|runs| *runs == 1), "{runs:?}");
        assert_eq!(self.platform.workers.violations().count, 0);
        self.platform.stop().await;
    }
}

/// Waits until a condition holds, and panics after a timeout.
pub(crate) async fn wait_until<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let met = async {
        while !condition().await {
            sleep(POLL_INTERVAL.to_duration()).await;
        }
    };
    with_timeout(what, met).await;
}

/// Waits for a result, and panics after a timeout.
pub(crate) async fn with_timeout<T>(what: &str, result: impl Future<Output = T>) -> T {
    let result = timeout(WAIT_TIMEOUT.to_duration(), result).await;
    result.unwrap_or_else(|_| panic!("not in time: {what}"))
}
