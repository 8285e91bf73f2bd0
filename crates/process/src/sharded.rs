use std::collections::HashMap;
use std::hash::{BuildHasher, Hash, RandomState};
use std::sync::{Mutex, MutexGuard, PoisonError};

const SHARDS: usize = 16;

/// Hash map split into shards, each under its own lock, so that accesses to different keys rarely contend.
#[derive(Debug)]
pub struct Sharded<K, V> {
    shards: [Mutex<HashMap<K, V>>; SHARDS],
    hasher: RandomState,
}

impl<K: Hash + Eq, V> Sharded<K, V> {
    /// Creates an empty map.
    pub fn new() -> Self {
        Self {
            shards: std::array::from_fn(|_| Mutex::new(HashMap::new())),
            hasher: RandomState::new(),
        }
    }

    /// Calls `f` with the locked shard that holds `key`.
    pub fn with<R>(&self, key: &K, f: impl FnOnce(&mut HashMap<K, V>) -> R) -> R {
        let shard = self.hasher.hash_one(key) as usize % SHARDS;
        f(&mut lock(&self.shards[shard]))
    }

    /// Calls `f` with each shard in turn; only one shard is locked at a time.
    pub fn for_each_shard(&self, mut f: impl FnMut(&mut HashMap<K, V>)) {
        for shard in &self.shards {
            f(&mut lock(shard));
        }
    }
}

impl<K: Hash + Eq, V> Default for Sharded<K, V> {
    fn default() -> Self {
        Self::new()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
