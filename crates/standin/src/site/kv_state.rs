use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::Instant;

/// What the store does to calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// Nothing.
    #[default]
    None,
    /// It refuses every call; nothing is done.
    Unavailable,
    /// It does what a call asks and does not answer.
    DropResponses,
    /// It does writes and does not answer them; reads are answered.
    DropWriteResponses,
    /// It does not answer writes, and does them a while later if their conditions still hold.
    DelayWrites,
}

/// Keys, leases and history of the store.
#[derive(Debug)]
pub(super) struct KvState {
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, Lease>,
    history: Vec<(u64, Value)>,
    /// Watches from before this revision get 410.
    history_from: u64,
    revision: u64,
    pub(super) fault: StoreFault,
    pub(super) calls: u64,
}

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

impl KvState {
    pub(super) fn new() -> Self {
        Self {
            items: BTreeMap::new(),
            leases: HashMap::new(),
            history: Vec::new(),
            history_from: 0,
            revision: 1,
            fault: StoreFault::None,
            calls: 0,
        }
    }

    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn get(&self, key: &str) -> Option<Value> {
        self.items.get(key).map(|item| view(key, item))
    }

    pub(super) fn range(&self, prefix: &str, after: &str, limit: usize) -> (Vec<Value>, bool) {
        let under = self.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let mut rest = under.filter(|(key, _)| key.as_str() > after);
        let page = rest
            .by_ref()
            .take(limit)
            .map(|(key, item)| view(key, item))
            .collect();
        (page, rest.next().is_some())
    }

    /// Returns events under a prefix after a revision; `None` if they are forgotten.
    pub(super) fn events(&self, prefix: &str, after: u64) -> Option<Vec<Value>> {
        if after < self.history_from {
            return None;
        }
        let later = self
            .history
            .iter()
            .filter(|(revision, _)| *revision > after);
        let under = later.filter(|(_, event)| {
            event["key"]
                .as_str()
                .is_some_and(|key| key.starts_with(prefix))
        });
        Some(under.map(|(_, event)| event.clone()).collect())
    }

    pub(super) fn compact_history(&mut self) {
        self.history.clear();
        self.revision += 1;
        self.history_from = self.revision;
    }

    /// Commits; `Err` holds the items of the conditions.
    pub(super) fn commit(&mut self, body: &Value) -> Result<u64, Vec<Value>> {
        let rows = |field: &str| body[field].as_array().cloned().unwrap_or_default();
        let expected = rows("expected_rev");
        let holds = |row: &Value| {
            let current = self
                .items
                .get(text(row, "key"))
                .map_or(0, |item| item.revision);
            row["revision"].as_u64() == Some(current)
        };
        if !expected.iter().all(holds) {
            let current = |row: &Value| {
                let key = text(row, "key");
                self.get(key)
                    .unwrap_or_else(|| json!({"key": key, "revision": 0}))
            };
            return Err(expected.iter().map(current).collect());
        }
        self.revision += 1;
        for row in rows("writes") {
            self.write(
                text(&row, "key"),
                text(&row, "value"),
                row["lease"].as_u64().unwrap_or(0),
            );
        }
        for key in rows("remove") {
            self.remove(key.as_str().unwrap_or_default());
        }
        Ok(self.revision)
    }

    /// Writes a key outside of a transaction, as operators and executors do.
    pub(super) fn put(&mut self, key: &str, value: &str) {
        self.revision += 1;
        self.write(key, value, 0);
    }

    pub(super) fn delete(&mut self, key: &str) {
        self.revision += 1;
        self.remove(key);
    }

    pub(super) fn grant(&mut self, ttl: Duration) -> u64 {
        self.revision += 1;
        let ends = Instant::now() + ttl;
        self.leases.insert(self.revision, Lease { ttl, ends });
        self.revision
    }

    pub(super) fn has_lease(&self, id: u64) -> bool {
        self.leases.contains_key(&id)
    }

    /// Renews a lease; returns its time to live unless it has ended.
    pub(super) fn renew(&mut self, id: u64) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.ends = Instant::now() + lease.ttl;
        Some(lease.ttl)
    }

    pub(super) fn end_lease(&mut self, id: u64) -> bool {
        let known = self.leases.remove(&id).is_some();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.delete(&key);
        }
        known
    }

    pub(super) fn end_lapsed(&mut self) {
        let now = Instant::now();
        let lapsed = self.leases.iter().filter(|(_, lease)| lease.ends < now);
        let ids: Vec<u64> = lapsed.map(|(id, _)| *id).collect();
        for id in ids {
            self.end_lease(id);
        }
    }

    fn write(&mut self, key: &str, value: &str, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            revision,
            created,
            lease,
        };
        self.history.push((revision, view(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = json!({"key": key, "revision": self.revision, "tombstone": true});
            self.history.push((self.revision, event));
        }
    }
}

fn view(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": item.value,
        "revision": item.revision,
        "create_revision": item.created,
        "lease": item.lease,
    })
}

fn text<'a>(row: &'a Value, field: &str) -> &'a str {
    row[field].as_str().unwrap_or_default()
}
