use std::sync::Arc;

use lagoon_core::id::ShardId;
use lagoon_core::journal::{Claim, JournalLimits, JournalState, Retention, StoreVersion};
use lagoon_core::policy::Policy;
use lagoon_core::shard::{Shard, ShardConfig, WorkerSpec};
use lagoon_core::ticket::TicketLimits;
use lagoon_core::unit::{Millis, Timestamp};

use crate::util::name;

/// Returns the id of the shard under test.
pub(crate) fn shard_id() -> ShardId {
    ShardId::new(name("load"), lagoon_core::id::ShardNumber::new(0))
}

/// Returns a newly claimed shard without previous owner, whose workers are listed but not leased.
pub(crate) fn new_shard(policy: Policy, workers: &[WorkerSpec], now: Timestamp) -> Shard {
    let id = shard_id();
    let claim = Claim::new(id.clone(), name("load"), "127.0.0.1:1".to_owned(), None);
    let config = ShardConfig {
        task_ttl: Millis::new(60_000),
        shard: id,
        process: name("load"),
        lease_margin: Millis::new(100),
        record_timeout: Millis::new(5_000),
        tickets: TicketLimits::default(),
        journal: JournalLimits::default(),
    };
    let state = JournalState::new(Retention::default());
    let head = claim.head().clone();
    let mut shard = Shard::new(config, head, StoreVersion::new(1), state, Arc::new(policy));
    shard.begin_fencing(now);
    shard.set_workers(workers, &Default::default(), now);
    shard
}
