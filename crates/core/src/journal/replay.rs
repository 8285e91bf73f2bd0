use std::collections::HashMap;

use crate::code::{Refusal, ResultCode};
use crate::id::ShardId;
use crate::journal::{Head, JournalState, Retention, Segment};

/// Rebuilds a shard's state from its head, snapshot and segments.
#[derive(Debug)]
pub struct Replay {
    keys: Vec<String>,
    head: Head,
    values: HashMap<String, Segment>,
    retention: Retention,
}

impl Replay {
    /// Starts from the head that the claim wrote.
    pub fn new(shard: ShardId, head: Head, retention: Retention) -> Self {
        Self {
            keys: head.keys(&shard),
            head,
            values: HashMap::new(),
            retention,
        }
    }

    /// Returns the keys that are still to be read.
    pub fn missing(&self) -> Vec<String> {
        let absent = |key: &&String| !self.values.contains_key(*key);
        self.keys.iter().filter(absent).cloned().collect()
    }

    /// Takes the value of a key, in any order.
    pub fn add(&mut self, key: String, value: Segment) {
        self.values.insert(key, value);
    }

    /// Applies everything in order; refused with `ShardStopped` if a value is missing.
    pub fn finish(mut self) -> Result<JournalState, Refusal> {
        let mut state = JournalState::new(self.retention);
        for key in &self.keys {
            let Some(segment) = self.values.remove(key) else {
                let text = format!("the head refers to {key}, which was not read");
                return Err(Refusal::new(ResultCode::ShardStopped, text));
            };
            segment.entries.iter().for_each(|entry| state.apply(entry));
        }
        self.head.tail.iter().for_each(|entry| state.apply(entry));
        Ok(state)
    }
}
