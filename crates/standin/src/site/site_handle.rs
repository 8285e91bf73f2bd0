use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::site::adviser;
use crate::site::executor::Executor;
use crate::site::kv_api::{self, Shared};
use crate::site::kv_state::{KvState, StoreFault};
use crate::site::listener::Listener;
use crate::site::run_log::RunLog;
use crate::site::store_listener::StoreListener;

/// A running stand-in; everything ends when it is dropped.
#[derive(Debug)]
pub struct SiteHandle {
    store: Shared,
    store_listener: Listener,
    adviser: Listener,
    executors: BTreeMap<String, Executor>,
    lives: u64,
    log: RunLog,
}

impl SiteHandle {
    /// Starts the store and the adviser, without executors and without a configuration.
    ///
    /// # Errors
    ///
    /// When no loopback address can be listened on.
    pub async fn bind() -> std::io::Result<Self> {
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let store = Arc::new(Mutex::new(KvState::new()));
        Ok(Self {
            store_listener: Listener::bind(any, kv_api::router(store.clone())).await?,
            store,
            adviser: Listener::bind(any, adviser::router()).await?,
            executors: BTreeMap::new(),
            lives: 0,
            log: RunLog::default(),
        })
    }

    /// Returns the address of the store.
    pub fn store(&self) -> SocketAddr {
        self.store_listener.address
    }

    /// Opens another address of the store, which can be closed while the first one serves on.
    ///
    /// # Errors
    ///
    /// When no loopback address can be listened on.
    pub async fn add_store_listener(&self) -> std::io::Result<StoreListener> {
        StoreListener::open(kv_api::router(self.store.clone())).await
    }

    /// Returns the address of the adviser.
    pub fn adviser(&self) -> SocketAddr {
        self.adviser.address
    }

    /// Returns what ran.
    pub fn log(&self) -> &RunLog {
        &self.log
    }

    /// Returns how many calls the store has had.
    pub fn store_calls(&self) -> u64 {
        kv_api::lock(&self.store).calls
    }

    /// Sets what the store does to calls from now on.
    pub fn set_store_fault(&self, fault: StoreFault) {
        kv_api::lock(&self.store).fault = fault;
    }

    /// Lets the store forget what has changed so far.
    pub fn compact_history(&self) {
        kv_api::lock(&self.store).compact_history();
    }

    /// Writes a configuration with queues of the names given, each with prefix `/NAME/`; names that begin with
    /// `advised` need advice.
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

    /// Starts an executor with `cpu` thousandths of a core, or starts it again in a new life.
    ///
    /// # Errors
    ///
    /// When no loopback address can be listened on.
    pub async fn start_executor(&mut self, id: &str, cpu: u64) -> std::io::Result<()> {
        self.crash_executor(id).await;
        self.spawn_executor(id, cpu, ([127, 0, 0, 1], 0).into())
            .await
    }

    /// Ends an executor, whose entry stays, and starts another one at its address.
    ///
    /// # Errors
    ///
    /// When there is no such executor or its address can't be listened on.
    pub async fn replace_executor(
        &mut self,
        id: &str,
        with: &str,
        cpu: u64,
    ) -> std::io::Result<()> {
        let missing = || std::io::Error::other(format!("there is no executor {id}"));
        let address = self.executors.get(id).ok_or_else(missing)?.address();
        self.crash_executor(id).await;
        self.spawn_executor(with, cpu, address).await
    }

    async fn spawn_executor(
        &mut self,
        id: &str,
        cpu: u64,
        address: SocketAddr,
    ) -> std::io::Result<()> {
        self.lives += 1;
        let executor = Executor::spawn(id, self.lives, cpu, self.log.clone(), address).await?;
        self.put(&format!("servers/{id}"), &executor.entry());
        self.executors.insert(id.to_owned(), executor);
        Ok(())
    }

    /// Ends an executor and all that runs there; its entry stays.
    pub async fn crash_executor(&mut self, id: &str) {
        if let Some(executor) = self.executors.remove(id) {
            executor.crash().await;
        }
    }

    /// Removes an executor's entry, as when it is silent for too long.
    pub fn deregister_executor(&self, id: &str) {
        kv_api::lock(&self.store).delete(&format!("servers/{id}"));
    }

    /// Returns the keys under a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let (items, _) = kv_api::lock(&self.store).range(prefix, "", usize::MAX);
        let key = |item: &Value| item["key"].as_str().map(ToOwned::to_owned);
        items.iter().filter_map(key).collect()
    }

    /// Returns the value of a key as JSON.
    pub fn read(&self, key: &str) -> Option<Value> {
        let item = kv_api::lock(&self.store).get(key)?;
        let value = STANDARD.decode(item["value"].as_str()?).ok()?;
        serde_json::from_slice(&value).ok()
    }

    fn put(&self, key: &str, value: &Value) {
        let text = STANDARD.encode(value.to_string());
        kv_api::lock(&self.store).put(key, &text);
    }
}
