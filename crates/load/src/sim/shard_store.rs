use lagoon_core::journal::{CommitPace, JournalWrite, StoreVersion};
use lagoon_core::shard::{JournalAnswer, Shard};
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
    pace: CommitPace,
    last: Timestamp,
    pending: Option<(Timestamp, JournalAnswer)>,
    version: u64,
    calls: u64,
}

impl ShardStore {
    pub(crate) fn new() -> Self {
        Self {
            pace: CommitPace::new(BUDGET, SLOW),
            last: Timestamp::default(),
            pending: None,
            version: 1,
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
        let write = shard.next_write(now)?;
        let version = match write {
            JournalWrite::DeleteKeys { .. } => 0,
            _ => {
                self.version += 1;
                self.version
            }
        };
        self.calls += 1;
        self.last = now;
        let at = now.after(LATENCY);
        self.pending = Some((at, JournalAnswer::Written(StoreVersion::new(version))));
        Some(at)
    }
}
