use std::sync::Arc;

use crate::id::{Epoch, ProcessId, Sequence, ShardId};
use crate::journal::{ClaimResult, Head, JournalKeys, StoreRequest, StoreVersion};

/// Attempt to take ownership of a shard, built from the current head.
///
/// Read the keys for the replay only after the claim took effect. Until then the previous owner may delete them.
#[derive(Debug, Clone)]
pub struct Claim {
    shard: ShardId,
    head: Arc<Head>,
    base_commit: Option<u64>,
    expected_version: StoreVersion,
}

impl Claim {
    /// Creates a claim of `shard` by `owner` at the epoch after the current one.
    pub fn new(
        shard: ShardId,
        owner: ProcessId,
        address: String,
        current: Option<(Head, StoreVersion)>,
    ) -> Self {
        let base_commit = current.as_ref().map(|(head, _)| head.commit);
        let (head, expected_version) = match current {
            Some((head, version)) => {
                let head = Head {
                    owner,
                    address,
                    epoch: head.epoch.next(),
                    commit: head.commit + 1,
                    ..head
                };
                (head, version)
            }
            None => {
                let head = Head {
                    owner,
                    address,
                    epoch: Epoch::new(1),
                    next_segment: Sequence::new(0),
                    snapshot: None,
                    segments: Vec::new(),
                    next_work: Sequence::new(0),
                    tail: Vec::new(),
                    commit: 1,
                };
                (head, StoreVersion::new(0))
            }
        };
        let head = Arc::new(head);
        Self {
            shard,
            head,
            base_commit,
            expected_version,
        }
    }

    /// Returns the head that the claim proposes.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Returns the store request that makes the claim take effect.
    pub fn write(&self) -> StoreRequest {
        StoreRequest::SwapHead {
            key: JournalKeys::new(&self.shard).head(),
            value: self.head.clone(),
            expected_version: self.expected_version,
        }
    }

    /// Returns the keys to read for the replay, in order.
    pub fn read_keys(&self) -> Vec<String> {
        self.head.keys(&self.shard)
    }

    /// Determines the result of the claim from the head that was read after a conflict or a lost answer.
    pub fn evaluate(&self, current: Option<(&Head, StoreVersion)>) -> ClaimResult {
        match current {
            Some((head, version)) if *head == *self.head => ClaimResult::Won(version),
            Some((head, version))
                if Some(head.commit) == self.base_commit && version == self.expected_version =>
            {
                ClaimResult::Pending
            }
            Some((head, _)) => ClaimResult::Superseded {
                owner: head.owner.clone(),
                epoch: head.epoch,
            },
            None if self.base_commit.is_none() => ClaimResult::Pending,
            None => ClaimResult::Missing,
        }
    }
}
