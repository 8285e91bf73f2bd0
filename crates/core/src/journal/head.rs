use std::collections::HashSet;

use serde::{Deserialize, Serialize};

use crate::id::{Epoch, ProcessId, Sequence, ShardId};
use crate::journal::{JournalEntry, JournalKeys, SegmentRef};

/// Value of the key that names the owner of a shard and holds the end of its journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Process that owns the shard.
    pub owner: ProcessId,
    /// Address of the owner for calls from other processes of the cluster.
    pub address: String,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Sequence number of the next segment or snapshot part.
    pub next_segment: Sequence,
    /// Snapshot that precedes the segments.
    pub snapshot: Option<SegmentRef>,
    /// Segments in the order in which they apply.
    pub segments: Vec<SegmentRef>,
    /// Sequence number after the highest one of all accepted work.
    pub next_work: Sequence,
    /// Entries after the last segment.
    pub tail: Vec<JournalEntry>,
    /// Number of commits since the key was created.
    pub commit: u64,
}

impl Head {
    /// Returns the keys of the snapshot parts and segments in the order in which they apply.
    pub fn keys(&self, shard: &ShardId) -> Vec<String> {
        let journal_keys = JournalKeys::new(shard);
        let snapshot = self
            .snapshot
            .iter()
            .flat_map(|part| journal_keys.snapshots(part));
        let segments = self
            .segments
            .iter()
            .flat_map(|part| journal_keys.segments(part));
        snapshot.chain(segments).collect()
    }

    /// Returns those `listed` keys that an earlier owner wrote and that no head will refer to again, such as a segment
    /// whose owner crashed before it replaced the head. `self` must be the head of a claim that took effect.
    pub fn orphans(&self, shard: &ShardId, listed: &[String]) -> Vec<String> {
        let journal_keys = JournalKeys::new(shard);
        let referenced: HashSet<String> = self.keys(shard).into_iter().collect();
        let orphan = |key: &&String| {
            let earlier = journal_keys
                .epoch_of(key)
                .is_some_and(|epoch| epoch < self.epoch);
            earlier && !referenced.contains(*key)
        };
        listed.iter().filter(orphan).cloned().collect()
    }
}
