use std::sync::Arc;

use lagoon_core::journal::{CommitPacer, Head, StoreRequest, StoreVersion};
use lagoon_core::shard::{Shard, StoreResponse};
use lagoon_core::unit::{Millis, Rate, Timestamp};

/// Time of one call.
const LATENCY: Millis = Millis::new(5);
/// Budget of a scheduler process.
const BUDGET: Rate = Rate::per_second(20);
/// A write that takes this long counts as a sign of overload.
const SLOW: Millis = Millis::new(250);

/// The store as the journal of one shard sees it: one call at a time, at the pace of the budget, always successful.
#[derive(Debug)]
pub(crate) struct ShardStore {
    pace: CommitPacer,
    last: Timestamp,
    pending: Option<(Timestamp, StoreResponse)>,
    version: u64,
    /// Head that was written last, with its version; none while the claimed one stands.
    head: Option<(Arc<Head>, StoreVersion)>,
    calls: u64,
}

impl ShardStore {
    pub(crate) fn new() -> Self {
        Self {
            pace: CommitPacer::new(BUDGET, SLOW),
            last: Timestamp::default(),
            pending: None,
            version: 1,
            head: None,
            calls: 0,
        }
    }

    /// Number of calls so far.
    pub(crate) fn calls(&self) -> u64 {
        self.calls
    }

    /// Answers and takes calls that are due; returns when to call again.
    pub(crate) fn drive(&mut self, shard: &mut Shard, now: Timestamp) -> Option<Timestamp> {
        if let Some((at, answer)) = self.pending.take() {
            if at > now {
                self.pending = Some((at, answer));
                return Some(at);
            }
            self.pace.on_written(LATENCY);
            shard.on_store(answer, now);
        }
        let next = self.pace.next_at(self.last);
        if next > now {
            return shard.has_unrecorded().then_some(next);
        }
        let write = shard.next_request(now)?;
        let answer = self.perform(write, shard);
        self.calls += 1;
        self.last = now;
        let at = now.after(LATENCY);
        self.pending = Some((at, answer));
        Some(at)
    }

    fn perform(&mut self, write: StoreRequest, shard: &Shard) -> StoreResponse {
        match write {
            StoreRequest::DeleteKeys { .. } => StoreResponse::Written(StoreVersion::new(0)),
            StoreRequest::ReadHead { .. } => {
                let head = self.head.clone().unwrap_or_else(|| shard.recorded_head());
                StoreResponse::Head(Some(Box::new((Head::clone(&head.0), head.1))))
            }
            StoreRequest::SwapHead { value, .. } => {
                let version = self.next_version();
                self.head = Some((value, version));
                StoreResponse::Written(version)
            }
            StoreRequest::PutSegment { .. } | StoreRequest::PutSnapshot { .. } => {
                StoreResponse::Written(self.next_version())
            }
        }
    }

    fn next_version(&mut self) -> StoreVersion {
        self.version += 1;
        StoreVersion::new(self.version)
    }
}
