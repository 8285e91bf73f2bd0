use std::collections::{BTreeSet, HashMap};
use std::sync::{PoisonError, RwLock};

use lagoon_core::id::{ExecutorId, FailureDomain, HostId, ShardId, WorkerId};
use lagoon_core::membership::home_shard;
use lagoon_core::shard::WorkerSpec;
use lagoon_platform::executor::ExecutorClient;
use lagoon_platform::hosts::{HostEntry, HostState};
use lagoon_platform::worker::WorkerClient;
use lagoon_platform::{Endpoint, Transport};

use crate::convert::worker_spec;

/// The last host list. Addresses are kept after a host has left the list, because tasks may still run there.
#[derive(Debug, Default)]
pub(crate) struct HostDirectory {
    inner: RwLock<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    loaded: bool,
    generation: u64,
    workers: Vec<WorkerSpec>,
    leaving: BTreeSet<HostId>,
    worker_addresses: HashMap<WorkerId, Endpoint>,
    worker_clients: HashMap<WorkerId, WorkerClient>,
    executor_addresses: HashMap<ExecutorId, (Endpoint, u32)>,
    executor_clients: HashMap<ExecutorId, ExecutorClient>,
}

impl HostDirectory {
    /// Applies a host list, of which only the hosts of `domain` are kept.
    pub(crate) fn apply_host_list(&self, entries: &[HostEntry], domain: &FailureDomain) {
        let mut inner = self.inner.write().unwrap_or_else(PoisonError::into_inner);
        inner.loaded = true;
        inner.generation += 1;
        inner.workers.clear();
        inner.leaving.clear();
        for entry in entries
            .iter()
            .filter(|entry| entry.failure_domain == *domain)
        {
            inner.add(entry);
        }
    }

    /// Returns true once a host list has been read.
    pub(crate) fn is_loaded(&self) -> bool {
        self.read().loaded
    }

    /// Returns the workers whose home is `shard`, and all hosts that are leaving.
    pub(crate) fn shard_workers(
        &self,
        shard: &ShardId,
        shards: u16,
    ) -> (Vec<WorkerSpec>, BTreeSet<HostId>) {
        let inner = self.read();
        let home = |spec: &&WorkerSpec| home_shard(&spec.worker, shards) == Some(shard.number());
        (
            inner.workers.iter().filter(home).cloned().collect(),
            inner.leaving.clone(),
        )
    }

    /// Returns the workers that are wanted and whose hosts are not leaving.
    pub(crate) fn available_workers(&self, wanted: impl Fn(&WorkerId) -> bool) -> Vec<WorkerSpec> {
        let inner = self.read();
        let available =
            |spec: &&WorkerSpec| wanted(&spec.worker) && !inner.leaving.contains(&spec.host);
        inner.workers.iter().filter(available).cloned().collect()
    }

    /// Returns the entry of a worker, or `None` if it is not in the list.
    pub(crate) fn spec(&self, worker: &WorkerId) -> Option<WorkerSpec> {
        let inner = self.read();
        let found = inner.workers.iter().find(|spec| spec.worker == *worker);
        found.cloned()
    }

    /// Returns all workers of the failure domain if a list has been read since generation `seen`, which is updated.
    pub(crate) fn workers_if_changed(&self, seen: &mut u64) -> Option<Vec<WorkerSpec>> {
        let inner = self.read();
        let before = std::mem::replace(seen, inner.generation);
        (before != inner.generation).then(|| inner.workers.clone())
    }

    /// Returns the client of a worker, or `None` if its address is not known.
    pub(crate) fn worker(&self, worker: &WorkerId, transport: &Transport) -> Option<WorkerClient> {
        if let Some(client) = self.read().worker_clients.get(worker) {
            return Some(client.clone());
        }
        let mut inner = self.inner.write().unwrap_or_else(PoisonError::into_inner);
        let endpoint = inner.worker_addresses.get(worker)?.clone();
        let client = WorkerClient::new(endpoint, transport.clone());
        inner.worker_clients.insert(worker.clone(), client.clone());
        Some(client)
    }

    /// Returns the client of an executor, which enforces the executor's connection limit.
    pub(crate) fn executor(
        &self,
        executor: &ExecutorId,
        transport: &Transport,
    ) -> Option<ExecutorClient> {
        if let Some(client) = self.read().executor_clients.get(executor) {
            return Some(client.clone());
        }
        let mut inner = self.inner.write().unwrap_or_else(PoisonError::into_inner);
        let (endpoint, connections) = inner.executor_addresses.get(executor)?.clone();
        let client = ExecutorClient::new(endpoint, transport.clone(), connections as usize);
        inner
            .executor_clients
            .insert(executor.clone(), client.clone());
        Some(client)
    }

    fn read(&self) -> std::sync::RwLockReadGuard<'_, Inner> {
        self.inner.read().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn add(&mut self, entry: &HostEntry) {
        if entry.state == HostState::Leaving {
            self.leaving.insert(entry.host.clone());
        }
        let Some(spec) = worker_spec(entry) else {
            return;
        };
        if let Some(worker) = &entry.worker {
            let known = self
                .worker_addresses
                .insert(worker.worker.clone(), worker.address.clone());
            if known.is_some_and(|known| known != worker.address) {
                self.worker_clients.remove(&worker.worker);
            }
        }
        for executor in &entry.executors {
            let address = (executor.address.clone(), executor.connections);
            let known = self
                .executor_addresses
                .insert(executor.executor.clone(), address.clone());
            if known.is_some_and(|known| known != address) {
                self.executor_clients.remove(&executor.executor);
            }
        }
        self.workers.push(spec);
    }
}
