use std::collections::HashMap;
use std::hash::{BuildHasher, Hash, RandomState};
use std::sync::{Mutex, MutexGuard, PoisonError};

const PARTS: usize = 16;

/// Map in parts with a lock each, so that requests for unlike keys seldom wait for each other.
#[derive(Debug)]
pub struct Sharded<K, V> {
    parts: [Mutex<HashMap<K, V>>; PARTS],
    hasher: RandomState,
}

impl<K: Hash + Eq, V> Sharded<K, V> {
    /// Starts empty.
    pub fn new() -> Self {
        Self {
            parts: std::array::from_fn(|_| Mutex::new(HashMap::new())),
            hasher: RandomState::new(),
        }
    }

    /// Runs `f` on the part that holds `key`.
    pub fn with<R>(&self, key: &K, f: impl FnOnce(&mut HashMap<K, V>) -> R) -> R {
        let part = self.hasher.hash_one(key) as usize % PARTS;
        f(&mut lock(&self.parts[part]))
    }

    /// Runs `f` on each part in turn.
    pub fn each(&self, mut f: impl FnMut(&mut HashMap<K, V>)) {
        for part in &self.parts {
            f(&mut lock(part));
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
