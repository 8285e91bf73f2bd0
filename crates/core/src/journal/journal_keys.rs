use crate::id::{Epoch, Sequence, ShardId};
use crate::journal::SegmentRef;

/// Store keys of a shard's journal.
#[derive(Debug, Clone)]
pub struct JournalKeys {
    prefix: String,
}

impl JournalKeys {
    /// Creates the keys of `shard`.
    pub fn new(shard: &ShardId) -> Self {
        Self {
            prefix: format!("shards/{}/{}", shard.domain(), shard.number()),
        }
    }

    /// Returns the key of the head.
    pub fn head(&self) -> String {
        format!("{}/head", self.prefix)
    }

    /// Returns the key of a segment.
    pub fn segment(&self, epoch: Epoch, sequence: Sequence) -> String {
        format!("{}/segment/{epoch}-{sequence}", self.prefix)
    }

    /// Returns the key of one part of a snapshot.
    pub fn snapshot(&self, epoch: Epoch, sequence: Sequence) -> String {
        format!("{}/snapshot/{epoch}-{sequence}", self.prefix)
    }

    /// Returns the epoch of the owner that wrote a segment or snapshot part of this shard, or `None` for other keys.
    pub(super) fn epoch_of(&self, key: &str) -> Option<Epoch> {
        let rest = key.strip_prefix(&self.prefix)?;
        let name = rest
            .strip_prefix("/segment/")
            .or_else(|| rest.strip_prefix("/snapshot/"))?;
        let (epoch, _) = name.split_once('-')?;
        epoch.parse().ok()
    }

    pub(super) fn segments(&self, segment: &SegmentRef) -> impl Iterator<Item = String> {
        let epoch = segment.epoch;
        segment
            .sequences()
            .map(move |sequence| self.segment(epoch, sequence))
    }

    pub(super) fn snapshots(&self, snapshot: &SegmentRef) -> impl Iterator<Item = String> {
        let epoch = snapshot.epoch;
        snapshot
            .sequences()
            .map(move |sequence| self.snapshot(epoch, sequence))
    }
}
