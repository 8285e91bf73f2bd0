use std::collections::HashMap;

use crate::code::{Refusal, ResultCode};
use crate::id::ShardId;
use crate::journal::{Head, JournalState, Retention, Segment};

/// Rebuilds the state of a shard from its head, snapshot and segments.
#[derive(Debug)]
pub struct Replay {
    keys: Vec<String>,
    head: Head,
    values: HashMap<String, Segment>,
    retention: Retention,
}

impl Replay {
    /// Creates a replay of the head of a claim that took effect.
    pub fn new(shard: ShardId, head: Head, retention: Retention) -> Self {
        Self {
            keys: head.keys(&shard),
            head,
            values: HashMap::new(),
            retention,
        }
    }

    /// Returns the keys that have not been read yet.
    pub fn missing(&self) -> Vec<String> {
        let absent = |key: &&String| !self.values.contains_key(*key);
        self.keys.iter().filter(absent).cloned().collect()
    }

    /// Adds the value of a key. Values may be added in any order.
    pub fn add(&mut self, key: String, value: Segment) {
        self.values.insert(key, value);
    }

    /// Applies all entries in order. Refused with `ShardStopped` if a value is missing.
    pub fn finish(mut self) -> Result<JournalState, Refusal> {
        let mut state = JournalState::new(self.retention);
        for key in &self.keys {
            let Some(segment) = self.values.remove(key) else {
                let text = format!("the journal head refers to {key}, which was not read");
                return Err(Refusal::new(ResultCode::ShardStopped, text));
            };
            segment.entries.iter().for_each(|entry| state.apply(entry));
        }
        self.head.tail.iter().for_each(|entry| state.apply(entry));
        Ok(state)
    }
}
