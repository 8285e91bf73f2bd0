use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::Instant;

/// Fault that the store injects into calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Refuses every call without effect.
    Unavailable,
    /// Executes every call without responding.
    DropResponses,
    /// Executes writes without responding. Reads are served.
    DropWriteResponses,
    /// Doesn't respond to writes, and executes them after a delay if their preconditions still hold.
    DelayWrites,
    /// Leaves watches without events. Other calls are served.
    SilentWatches,
}

/// Keys, leases and history of the store.
#[derive(Debug)]
pub(super) struct KvState {
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, Lease>,
    history: Vec<(u64, Value)>,
    /// Oldest revision that a watch can start after; watches from earlier revisions get status 410.
    oldest_watch_revision: u64,
    revision: u64,
    pub(super) fault: StoreFault,
    pub(super) calls: u64,
    /// Keys of which the next write is not answered, each with the delay after which it is executed.
    delayed_writes: HashMap<String, Duration>,
}

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    create_revision: u64,
    lease: u64,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

impl KvState {
    pub(super) fn new() -> Self {
        Self {
            items: BTreeMap::new(),
            leases: HashMap::new(),
            history: Vec::new(),
            oldest_watch_revision: 0,
            revision: 1,
            fault: StoreFault::None,
            calls: 0,
            delayed_writes: HashMap::new(),
        }
    }

    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn get(&self, key: &str) -> Option<Value> {
        self.items.get(key).map(|item| to_json(key, item))
    }

    pub(super) fn range(&self, prefix: &str, after: &str, limit: usize) -> (Vec<Value>, bool) {
        let matching = self.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let mut remaining = matching.filter(|(key, _)| key.as_str() > after);
        let page = remaining
            .by_ref()
            .take(limit)
            .map(|(key, item)| to_json(key, item))
            .collect();
        (page, remaining.next().is_some())
    }

    /// Returns the events under a prefix after a revision, or `None` if the history since then was compacted.
    pub(super) fn events(&self, prefix: &str, after: u64) -> Option<Vec<Value>> {
        if after < self.oldest_watch_revision {
            return None;
        }
        let later = self
            .history
            .iter()
            .filter(|(revision, _)| *revision > after);
        let matching = later.filter(|(_, event)| {
            event["key"]
                .as_str()
                .is_some_and(|key| key.starts_with(prefix))
        });
        Some(matching.map(|(_, event)| event.clone()).collect())
    }

    pub(super) fn compact_history(&mut self) {
        self.history.clear();
        self.revision += 1;
        self.oldest_watch_revision = self.revision;
    }

    pub(super) fn delay_write(&mut self, key: &str, delay: Duration) {
        self.delayed_writes.insert(key.to_owned(), delay);
    }

    /// Takes the delay of a transaction that is to be executed late without a response.
    pub(super) fn take_delay(&mut self, body: &Value) -> Option<Duration> {
        let writes = body["writes"].as_array()?;
        let mut keys = writes.iter().map(|row| str_field(row, "key"));
        keys.find_map(|key| self.delayed_writes.remove(key))
    }

    /// Commits a transaction. Returns the current items of all preconditions if one is not met.
    pub(super) fn commit(&mut self, body: &Value) -> Result<u64, Vec<Value>> {
        let rows = |field: &str| body[field].as_array().cloned().unwrap_or_default();
        let preconditions = rows("expected_rev");
        let is_met = |row: &Value| {
            let current = self
                .items
                .get(str_field(row, "key"))
                .map_or(0, |item| item.revision);
            row["revision"].as_u64() == Some(current)
        };
        if !preconditions.iter().all(is_met) {
            let current = |row: &Value| {
                let key = str_field(row, "key");
                self.get(key)
                    .unwrap_or_else(|| json!({"key": key, "revision": 0}))
            };
            return Err(preconditions.iter().map(current).collect());
        }
        self.revision += 1;
        for row in rows("writes") {
            self.write(
                str_field(&row, "key"),
                str_field(&row, "value"),
                row["lease"].as_u64().unwrap_or(0),
            );
        }
        for key in rows("remove") {
            self.remove(key.as_str().unwrap_or_default());
        }
        Ok(self.revision)
    }

    /// Writes a key unconditionally, as operators and executors do.
    pub(super) fn put(&mut self, key: &str, value: &str) {
        self.revision += 1;
        self.write(key, value, 0);
    }

    pub(super) fn delete(&mut self, key: &str) {
        self.revision += 1;
        self.remove(key);
    }

    pub(super) fn grant_lease(&mut self, ttl: Duration) -> u64 {
        self.revision += 1;
        let expires_at = Instant::now() + ttl;
        self.leases.insert(self.revision, Lease { ttl, expires_at });
        self.revision
    }

    pub(super) fn has_lease(&self, id: u64) -> bool {
        self.leases.contains_key(&id)
    }

    /// Renews a lease and returns its time to live, or `None` if the lease has ended.
    pub(super) fn renew_lease(&mut self, id: u64) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires_at = Instant::now() + lease.ttl;
        Some(lease.ttl)
    }

    pub(super) fn end_lease(&mut self, id: u64) -> bool {
        let existed = self.leases.remove(&id).is_some();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.delete(&key);
        }
        existed
    }

    pub(super) fn end_expired_leases(&mut self) {
        let now = Instant::now();
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at < now);
        let ids: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in ids {
            self.end_lease(id);
        }
    }

    fn write(&mut self, key: &str, value: &str, lease: u64) {
        let revision = self.revision;
        let create_revision = self
            .items
            .get(key)
            .map_or(revision, |item| item.create_revision);
        let item = Item {
            value: value.to_owned(),
            revision,
            create_revision,
            lease,
        };
        self.history.push((revision, to_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = json!({"key": key, "revision": self.revision, "tombstone": true});
            self.history.push((self.revision, event));
        }
    }
}

fn to_json(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": item.value,
        "revision": item.revision,
        "create_revision": item.create_revision,
        "lease": item.lease,
    })
}

fn str_field<'a>(row: &'a Value, field: &str) -> &'a str {
    row[field].as_str().unwrap_or_default()
}
