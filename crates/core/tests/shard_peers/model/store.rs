use std::collections::HashMap;

use lagoon_core::id::ShardId;
use lagoon_core::journal::{
    Claim, Head, JournalLimits, JournalState, Replay, Segment, StoreRequest, StoreVersion,
};
use lagoon_core::shard::StoreResponse;

/// An in-memory store that holds the keys of one shard.
#[derive(Default)]
pub(crate) struct Store {
    head: Option<(Head, StoreVersion)>,
    segments: HashMap<String, Segment>,
    /// While true, every request is refused without effect.
    pub(crate) down: bool,
}

impl Store {
    /// Claims the shard. Returns `None` if the head does not have the version `replaces`.
    pub(crate) fn claim(
        &mut self,
        shard: &ShardId,
        owner: &str,
        replaces: Option<StoreVersion>,
    ) -> Option<(Head, StoreVersion, JournalState)> {
        let current = self.head.clone();
        let version = current.as_ref().map(|(_, version)| *version);
        if replaces.is_some() && replaces != version {
            return None;
        }
        let owner = owner.parse().unwrap();
        let claim = Claim::new(shard.clone(), owner, "127.0.0.1:7001".to_owned(), current);
        let version = self.put_head(claim.head());
        let retention = JournalLimits::default().retention;
        let mut replay = Replay::new(shard.clone(), claim.head().clone(), retention);
        for key in claim.read_keys() {
            replay.add(key.clone(), self.segments[&key].clone());
        }
        Some((claim.head().clone(), version, replay.finish().unwrap()))
    }

    pub(crate) fn perform(&mut self, write: StoreRequest) -> StoreResponse {
        if self.down {
            return StoreResponse::Refused;
        }
        match write {
            StoreRequest::PutSegment { key, value } | StoreRequest::PutSnapshot { key, value } => {
                self.segments.insert(key, Segment::clone(&value));
                StoreResponse::Written(StoreVersion::new(1))
            }
            StoreRequest::SwapHead {
                value,
                expected_version,
                ..
            } => match &self.head {
                Some((_, version)) if *version == expected_version => {
                    StoreResponse::Written(self.put_head(&value))
                }
                head => {
                    let version = head.as_ref().map(|(_, version)| *version);
                    StoreResponse::Conflict(version.unwrap_or_default())
                }
            },
            StoreRequest::ReadHead { .. } => StoreResponse::Head(self.head.clone().map(Box::new)),
            StoreRequest::DeleteKeys { .. } => StoreResponse::Written(StoreVersion::new(1)),
        }
    }

    fn put_head(&mut self, head: &Head) -> StoreVersion {
        let next = self
            .head
            .as_ref()
            .map_or(1, |(_, version)| version.get() + 1);
        self.head = Some((head.clone(), StoreVersion::new(next)));
        StoreVersion::new(next)
    }
}
