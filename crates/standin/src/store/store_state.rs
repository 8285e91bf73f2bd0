use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use lagoon_platform::store::{
    DeleteOutcome, LeaseId, ListResponse, Precondition, PutOutcome, StoreEntry, WatchResponse,
};
use tokio::time::Instant;

use crate::store::rate_limiter::RateLimiter;
use crate::store::{StoreCalls, StoreSettings};

/// Keys, leases and rate limiters of the store.
#[derive(Debug)]
pub(crate) struct StoreState {
    pub(crate) calls: StoreCalls,
    pub(crate) writes: RateLimiter,
    pub(crate) reads: RateLimiter,
    revision: u64,
    entries: BTreeMap<String, Value>,
    deleted: BTreeMap<String, u64>,
    leases: HashMap<LeaseId, Lease>,
    last_lease: u64,
}

#[derive(Debug)]
struct Value {
    text: String,
    version: u64,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

impl StoreState {
    pub(crate) fn new(settings: &StoreSettings, now: Instant) -> Self {
        Self {
            calls: StoreCalls::default(),
            writes: RateLimiter::new(settings.writes, now),
            reads: RateLimiter::new(settings.reads, now),
            revision: 0,
            entries: BTreeMap::new(),
            deleted: BTreeMap::new(),
            leases: HashMap::new(),
            last_lease: 0,
        }
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Removes expired leases and their keys.
    pub(crate) fn expire(&mut self, now: Instant) {
        let count = self.leases.len();
        self.leases.retain(|_, lease| now < lease.expires_at);
        if self.leases.len() == count {
            return;
        }
        let is_expired =
            |value: &Value| value.lease.is_some_and(|id| !self.leases.contains_key(&id));
        let keys: Vec<_> = self.entries.iter().filter(|(_, v)| is_expired(v)).collect();
        let keys: Vec<_> = keys.into_iter().map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    /// Returns the time at which the next lease expires, or `None` without leases.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|lease| lease.expires_at).min()
    }

    pub(crate) fn get(&self, key: &str) -> Option<StoreEntry> {
        self.entries.get(key).map(|value| value.to_entry(key))
    }

    pub(crate) fn has_lease(&self, lease: LeaseId) -> bool {
        self.leases.contains_key(&lease)
    }

    pub(crate) fn put(
        &mut self,
        key: String,
        text: String,
        expect: Precondition,
        lease: Option<LeaseId>,
    ) -> PutOutcome {
        let current = self.entries.get(&key).map(|value| value.version);
        if !expect.is_met_by(current) {
            self.calls.conflicts += 1;
            return PutOutcome::Conflict { current };
        }
        self.revision += 1;
        let version = self.revision;
        self.deleted.remove(&key);
        let value = Value {
            text,
            version,
            lease,
        };
        self.entries.insert(key, value);
        PutOutcome::Written(version)
    }

    pub(crate) fn delete(&mut self, key: &str, expect: Precondition) -> DeleteOutcome {
        let Some(current) = self.entries.get(key).map(|value| value.version) else {
            return DeleteOutcome::Absent;
        };
        if !expect.is_met_by(Some(current)) {
            self.calls.conflicts += 1;
            return DeleteOutcome::Conflict { current };
        }
        self.remove(key);
        DeleteOutcome::Deleted(self.revision)
    }

    pub(crate) fn list(&self, prefix: &str) -> ListResponse {
        ListResponse {
            revision: self.revision,
            entries: self.changed_since(prefix, 0),
        }
    }

    /// Returns the changes under `prefix` after revision `after`, or `None` if there are none.
    pub(crate) fn changes(&self, prefix: &str, after: u64) -> Option<WatchResponse> {
        let entries = self.changed_since(prefix, after);
        let removed = with_prefix(&self.deleted, prefix).filter(|(_, version)| **version > after);
        let deleted: Vec<_> = removed.map(|(key, _)| key.clone()).collect();
        let changed = !entries.is_empty() || !deleted.is_empty();
        changed.then_some(WatchResponse {
            revision: self.revision,
            entries,
            deleted,
        })
    }

    pub(crate) fn grant_lease(&mut self, ttl: Duration, now: Instant) -> LeaseId {
        self.last_lease += 1;
        let id = LeaseId::new(self.last_lease);
        let expires_at = now + ttl;
        self.leases.insert(id, Lease { ttl, expires_at });
        id
    }

    pub(crate) fn keep_alive(&mut self, id: LeaseId, now: Instant) -> bool {
        let lease = self.leases.get_mut(&id);
        lease
            .map(|lease| lease.expires_at = now + lease.ttl)
            .is_some()
    }

    fn changed_since(&self, prefix: &str, after: u64) -> Vec<StoreEntry> {
        let changed = with_prefix(&self.entries, prefix).filter(|(_, value)| value.version > after);
        changed.map(|(key, value)| value.to_entry(key)).collect()
    }

    fn remove(&mut self, key: &str) {
        self.revision += 1;
        self.entries.remove(key);
        self.deleted.insert(key.to_owned(), self.revision);
    }
}

impl Value {
    fn to_entry(&self, key: &str) -> StoreEntry {
        StoreEntry {
            key: key.to_owned(),
            value: self.text.clone(),
            version: self.version,
        }
    }
}

fn with_prefix<'a, V>(
    map: &'a BTreeMap<String, V>,
    prefix: &'a str,
) -> impl Iterator<Item = (&'a String, &'a V)> {
    map.range(prefix.to_owned()..)
        .take_while(move |(key, _)| key.starts_with(prefix))
}
