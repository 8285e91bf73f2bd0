use std::hash::{BuildHasher, RandomState};

use lagoon_core::id::RequestKey;

/// Generates a random idempotency key. The randomness is that of `RandomState`, which is seeded by the operating system.
pub(crate) fn generate() -> RequestKey {
    let state = RandomState::new();
    let text = format!("ctl-{:016x}{:016x}", state.hash_one(1), state.hash_one(2));
    text.parse().expect("hexadecimal digits are valid in a key")
}
