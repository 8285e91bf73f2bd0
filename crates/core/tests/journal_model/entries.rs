//! Journal entries shared by the journal tests.

use std::sync::Arc;

use lagoon_core::id::{Epoch, Sequence, ShardId, WorkId};
use lagoon_core::journal::JournalEntry;
use lagoon_core::unit::{Millis, Resources, Timestamp};
use lagoon_core::work::{PlacementPolicy, Repeatability, WorkKind, WorkSpec};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

pub(crate) fn shard() -> ShardId {
    "cluj:3".parse().unwrap()
}

pub(crate) fn work(sequence: u64) -> WorkId {
    WorkId::new(shard(), Epoch::new(1), Sequence::new(sequence))
}

pub(crate) fn spec(payload: &str) -> WorkSpec {
    WorkSpec {
        kind: WorkKind::Batch,
        team: "t1".parse().unwrap(),
        priority: "80".parse().unwrap(),
        deadline: Some(at(9)),
        resources: Resources::default(),
        task_count: 1,
        run_time: Millis::new(5),
        repeatability: Repeatability::AtMostOnce,
        placement: PlacementPolicy::default(),
        service: None,
        payload: payload.to_owned(),
    }
}

pub(crate) fn accepted(sequence: u64, payload: &str) -> JournalEntry {
    JournalEntry::Accepted {
        work: work(sequence),
        key: Some(format!("k{sequence}").parse().unwrap()),
        fingerprint: 7,
        spec: Arc::new(spec(payload)),
        accepted_at: at(3),
    }
}
