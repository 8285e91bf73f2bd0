use std::hash::{BuildHasher, RandomState};

use lagoon_core::id::RequestKey;

/// Generates an idempotency key from the hash keys that the standard library draws from the system's random source.
pub(crate) fn generate() -> RequestKey {
    let state = RandomState::new();
    let text = format!("ctl-{:016x}{:016x}", state.hash_one(1), state.hash_one(2));
    text.parse().expect("hexadecimal digits are valid in a key")
}
