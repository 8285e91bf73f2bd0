use std::sync::Arc;

use lagoon_core::journal::{CommitPacer, Head, StoreRequest, StoreVersion};
use lagoon_core::shard::{Shard, StoreResponse};
use lagoon_core::unit::{Millis, Rate, Timestamp};

/// Latency of a call.
const CALL_LATENCY: Millis = Millis::new(5);
/// Write budget of a scheduler process.
const WRITE_BUDGET: Rate = Rate::per_second(20);
/// Write latency that the pacer treats as a sign of overload.
const SLOW_WRITE: Millis = Millis::new(250);

/// Simulated store for the journal of one shard. Handles one call at a time, at the rate of the budget, without
/// failures.
#[derive(Debug)]
pub(crate) struct ShardStore {
    pacer: CommitPacer,
    last: Timestamp,
    pending: Option<(Timestamp, StoreResponse)>,
    version: u64,
    /// Last written head with its version; `None` until the claimed head is replaced.
    head: Option<(Arc<Head>, StoreVersion)>,
    calls: u64,
}

impl ShardStore {
    pub(crate) fn new() -> Self {
        Self {
            pacer: CommitPacer::new(WRITE_BUDGET, SLOW_WRITE),
            last: Timestamp::default(),
            pending: None,
            version: 1,
            head: None,
            calls: 0,
        }
    }

    /// Returns the number of calls so far.
    pub(crate) fn calls(&self) -> u64 {
        self.calls
    }

    /// Completes and issues the calls that are due. Returns the time of the next call to this function.
    pub(crate) fn drive(&mut self, shard: &mut Shard, now: Timestamp) -> Option<Timestamp> {
        if let Some((at, response)) = self.pending.take() {
            if at > now {
                self.pending = Some((at, response));
                return Some(at);
            }
            self.pacer.on_written(CALL_LATENCY);
            shard.on_store(response, now);
        }
        let next = self.pacer.next_at(self.last);
        if next > now {
            return shard.has_unrecorded().then_some(next);
        }
        let req = shard.next_request(now)?;
        let response = self.handle(req, shard);
        self.calls += 1;
        self.last = now;
        let at = now.after(CALL_LATENCY);
        self.pending = Some((at, response));
        Some(at)
    }

    fn handle(&mut self, req: StoreRequest, shard: &Shard) -> StoreResponse {
        match req {
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
