use std::collections::HashMap;
use std::hash::{BuildHasher, Hash, RandomState};
use std::sync::{Mutex, MutexGuard, PoisonError};

const SHARDS: usize = 16;

/// Map in parts with a lock each, so that requests for unlike keys seldom wait for each other.
#[derive(Debug)]
pub struct Sharded<K, V> {
    shards: [Mutex<HashMap<K, V>>; SHARDS],
    hasher: RandomState,
}

impl<K: Hash + Eq, V> Sharded<K, V> {
    /// Starts empty.
    pub fn new() -> Self {
        Self {
            shards: std::array::from_fn(|_| Mutex::new(HashMap::new())),
            hasher: RandomState::new(),
        }
    }

    /// Runs `f` on the part that holds `key`.
    pub fn with<R>(&self, key: &K, f: impl FnOnce(&mut HashMap<K, V>) -> R) -> R {
        let shard = self.hasher.hash_one(key) as usize % SHARDS;
        f(&mut lock(&self.shards[shard]))
    }

    /// Runs `f` on each part in turn.
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
