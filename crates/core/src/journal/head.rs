use std::collections::HashSet;

use serde::{Deserialize, Serialize};

use crate::id::{Epoch, ProcessId, Sequence, ShardId};
use crate::journal::{JournalEntry, JournalKeys, SegmentRef};

/// Value of the key that names a shard's owner and ends its journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Process that owns the shard.
    pub owner: ProcessId,
    /// Address of the owner for the system's own calls.
    pub address: String,
    /// Epoch of the ownership.
    pub epoch: Epoch,
    /// Number of the next segment or snapshot part.
    pub next_segment: Sequence,
    /// Snapshot that precedes the segments.
    pub snapshot: Option<SegmentRef>,
    /// Segments in order.
    pub segments: Vec<SegmentRef>,
    /// Number of the next piece of work.
    pub next_work: Sequence,
    /// Entries after the last segment.
    pub tail: Vec<JournalEntry>,
    /// Number of swaps since the key was created.
    pub commit: u64,
}

impl Head {
    /// Returns the keys of the snapshot parts and segments in the order in which they apply.
    pub fn keys(&self, shard: &ShardId) -> Vec<String> {
        let names = JournalKeys::new(shard);
        let snapshot = self.snapshot.iter().flat_map(|part| names.snapshots(part));
        let segments = self.segments.iter().flat_map(|part| names.segments(part));
        snapshot.chain(segments).collect()
    }

    /// Returns those of the `listed` keys that an earlier owner wrote and that no head will refer to any more, such as
    /// a segment whose owner died before the swap. Call it with the head of a claim that took effect.
    pub fn orphans(&self, shard: &ShardId, listed: &[String]) -> Vec<String> {
        let names = JournalKeys::new(shard);
        let referred: HashSet<String> = self.keys(shard).into_iter().collect();
        let orphan = |key: &&String| {
            let earlier = names.epoch_of(key).is_some_and(|epoch| epoch < self.epoch);
            earlier && !referred.contains(*key)
        };
        listed.iter().filter(orphan).cloned().collect()
    }
}
