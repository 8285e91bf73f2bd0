use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::site::adviser::{self, SharedDelay};
use crate::site::executor::Executor;
use crate::site::kv_api::{self, SharedState};
use crate::site::kv_state::{KvState, StoreFault};
use crate::site::listener::Listener;
use crate::site::run_log::RunLog;
use crate::site::store_listener::StoreListener;

/// Kind of an executor unless another is set, which is the first of its labels.
const DEFAULT_KIND: &str = "a";

/// A running fake platform. Dropping the handle stops all its servers.
#[derive(Debug)]
pub struct SiteHandle {
    store: SharedState,
    store_listener: Listener,
    adviser: Listener,
    adviser_delay: SharedDelay,
    executors: BTreeMap<String, Executor>,
    last_incarnation: u64,
    log: RunLog,
}

impl SiteHandle {
    /// Starts the store and the adviser, without executors and without a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback port can be bound.
    pub async fn bind() -> std::io::Result<Self> {
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let store = Arc::new(Mutex::new(KvState::new()));
        let adviser_delay = SharedDelay::default();
        Ok(Self {
            store_listener: Listener::bind(any, kv_api::router(store.clone())).await?,
            store,
            adviser: Listener::bind(any, adviser::router(adviser_delay.clone())).await?,
            adviser_delay,
            executors: BTreeMap::new(),
            last_incarnation: 0,
            log: RunLog::default(),
        })
    }

    /// Returns the address of the store.
    pub fn store(&self) -> SocketAddr {
        self.store_listener.address
    }

    /// Serves the store at another address, which can be made unavailable independently of the first one.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback port can be bound.
    pub async fn add_store_listener(&self) -> std::io::Result<StoreListener> {
        StoreListener::open(kv_api::router(self.store.clone())).await
    }

    /// Returns the address of the adviser.
    pub fn adviser(&self) -> SocketAddr {
        self.adviser.address
    }

    /// Sets the delay of the adviser's responses.
    pub fn set_adviser_delay(&self, delay: Duration) {
        self.adviser_delay.store(delay.as_millis() as u64, Relaxed);
    }

    /// Returns the log of all runs.
    pub fn log(&self) -> &RunLog {
        &self.log
    }

    /// Returns the number of calls to the store.
    pub fn store_calls(&self) -> u64 {
        kv_api::lock(&self.store).calls
    }

    /// Sets the fault that the store injects into all further calls.
    pub fn set_store_fault(&self, fault: StoreFault) {
        kv_api::lock(&self.store).fault = fault;
    }

    /// Leaves the next write of a key without a response, and executes it after a delay if its preconditions still hold.
    pub fn delay_write(&self, key: &str, delay: Duration) {
        kv_api::lock(&self.store).delay_write(key, delay);
    }

    /// Discards the store's event history, so that watches from earlier revisions fail.
    pub fn compact_history(&self) {
        kv_api::lock(&self.store).compact_history();
    }

    /// Writes a configuration with one queue per name, each with prefix `/NAME/`. Queues whose names begin with
    /// `advised` require advice.
    pub fn configure(&self, version: u64, queues: &[&str]) {
        let route = |name: &&str| {
            let mut route = json!({
                "name": name, "host": "cell.example", "prefix": format!("/{name}/"),
                "kind": "non_idempotent", "timeout_ms": 3_000, "target_latency_ms": 500,
                "priority": 1, "service": "service", "attempts": 3, "stretch": 2.0,
            });
            if name.starts_with("advised") {
                route["advice"] = json!({"decide_ms": 5.0, "each_ms": 0.1, "valid_ms": 1_500});
            }
            route
        };
        let routes: Vec<Value> = queues.iter().map(route).collect();
        let services = json!([{"name": "service", "preconditions": false}]);
        let config = json!({"version": version, "routes": routes, "services": services});
        self.put("op/config", &config);
    }

    /// Starts an executor with `cpu` millicores, or restarts it as a new incarnation.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback port can be bound.
    pub async fn start_executor(&mut self, id: &str, cpu: u64) -> std::io::Result<()> {
        self.crash_executor(id).await;
        self.spawn_executor(id, cpu, ([127, 0, 0, 1], 0).into())
            .await
    }

    /// Crashes an executor, whose store entry stays, and starts another executor at the same address.
    ///
    /// # Errors
    ///
    /// Returns an error if the executor doesn't exist or its address can't be bound.
    pub async fn replace_executor(
        &mut self,
        id: &str,
        with: &str,
        cpu: u64,
    ) -> std::io::Result<()> {
        let address = self.address(id)?;
        self.crash_executor(id).await;
        self.spawn_executor(with, cpu, address).await
    }

    /// Restarts an executor as a new incarnation of a kind at the same address, without a new store entry, like one that is cut off from
    /// the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the executor doesn't exist or its address can't be bound.
    pub async fn restart_executor_behind_a_cut(
        &mut self,
        id: &str,
        cpu: u64,
        kind: &str,
    ) -> std::io::Result<()> {
        let address = self.address(id)?;
        self.crash_executor(id).await;
        self.spawn_unregistered_executor(id, cpu, kind, address)
            .await
    }

    fn address(&self, id: &str) -> std::io::Result<SocketAddr> {
        let unknown_executor = || std::io::Error::other(format!("executor {id} is not running"));
        let executor = self.executors.get(id).ok_or_else(unknown_executor)?;
        Ok(executor.address())
    }

    async fn spawn_executor(
        &mut self,
        id: &str,
        cpu: u64,
        address: SocketAddr,
    ) -> std::io::Result<()> {
        self.spawn_unregistered_executor(id, cpu, DEFAULT_KIND, address)
            .await?;
        self.put(&format!("servers/{id}"), &self.entry(id));
        Ok(())
    }

    async fn spawn_unregistered_executor(
        &mut self,
        id: &str,
        cpu: u64,
        kind: &str,
        address: SocketAddr,
    ) -> std::io::Result<()> {
        self.last_incarnation += 1;
        let log = self.log.clone();
        let executor = Executor::spawn(id, self.last_incarnation, cpu, kind, log, address).await?;
        self.executors.insert(id.to_owned(), executor);
        Ok(())
    }

    /// Crashes an executor with all its runs. Its store entry stays.
    pub async fn crash_executor(&mut self, id: &str) {
        if let Some(executor) = self.executors.remove(id) {
            executor.crash().await;
        }
    }

    /// Removes an executor's store entry, as the platform does when the executor stops sending heartbeats.
    pub fn deregister_executor(&self, id: &str) {
        kv_api::lock(&self.store).delete(&format!("servers/{id}"));
    }

    /// Returns the highest fencing token that an executor has seen.
    ///
    /// # Panics
    ///
    /// Panics if the executor doesn't exist.
    pub fn fence(&self, id: &str) -> u64 {
        self.executors[id].fence()
    }

    /// Returns the store entry that an executor writes.
    ///
    /// # Panics
    ///
    /// Panics if the executor doesn't exist.
    pub fn entry(&self, id: &str) -> Value {
        self.executors[id].entry()
    }

    /// Writes an executor's store entry with any bytes, as another program may.
    pub fn write_entry(&self, id: &str, value: &[u8]) {
        self.write_unencoded_entry(id, &STANDARD.encode(value));
    }

    /// Writes an executor's store entry whose value in responses is `text`, which doesn't have to be Base64.
    pub fn write_unencoded_entry(&self, id: &str, text: &str) {
        kv_api::lock(&self.store).put(&format!("servers/{id}"), text);
    }

    /// Removes a key, as the store does when its lease ends.
    pub fn remove_key(&self, key: &str) {
        kv_api::lock(&self.store).delete(key);
    }

    /// Returns the keys under a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let (items, _) = kv_api::lock(&self.store).range(prefix, "", usize::MAX);
        let key = |item: &Value| item["key"].as_str().map(ToOwned::to_owned);
        items.iter().filter_map(key).collect()
    }

    /// Returns the value of a key as JSON, or `None` if the key is absent or its value is not JSON.
    pub fn read(&self, key: &str) -> Option<Value> {
        let item = kv_api::lock(&self.store).get(key)?;
        let value = STANDARD.decode(item["value"].as_str()?).ok()?;
        serde_json::from_slice(&value).ok()
    }

    fn put(&self, key: &str, value: &Value) {
        let encoded = STANDARD.encode(value.to_string());
        kv_api::lock(&self.store).put(key, &encoded);
    }
}
