use std::sync::Arc;

use lagoon_core::id::Epoch;
use lagoon_core::unit::Millis;
use tokio::time::MissedTickBehavior;

use crate::cell::ShardCell;

/// Interval between two ticks of a shard.
const TICK_INTERVAL: Millis = Millis::new(100);

/// Ticks between two applications of an unchanged host list, each of which costs time per worker of the failure domain.
const TICKS_PER_HOST_LIST: u64 = 5;

/// Ticks a shard until its ownership ends, and applies new policies and host lists to it.
pub(super) async fn run_ticks(cell: Arc<ShardCell>, epoch: Epoch) {
    let cx = cell.cx();
    let mut timer = tokio::time::interval(TICK_INTERVAL.to_duration());
    timer.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut seen = 0;
    for count in 0_u64.. {
        timer.tick().await;
        let now = cx.clock.now();
        let policy = cx.policy.get();
        let domain = cx.hosts.workers_if_changed(&mut seen);
        let due = domain.is_some() || count.is_multiple_of(TICKS_PER_HOST_LIST);
        let lists = (due && cx.hosts.is_loaded()).then(|| {
            let assigned = |worker: &_| cx.adoption.assigns(worker, cell.id(), cx.settings.shards);
            let adopted = cx.hosts.available_workers(assigned);
            (
                cx.hosts.shard_workers(cell.id(), cx.settings.shards),
                adopted,
            )
        });
        let applied = cell.with_epoch(epoch, |shard| {
            if let Some(policy) = &policy {
                shard.set_policy(policy);
            }
            if let Some(domain) = &domain {
                shard.set_domain_workers(domain);
            }
            if let Some(((workers, leaving), adopted)) = &lists {
                shard.set_workers(workers, leaving, now);
                shard.set_adopted_workers(adopted, now);
            }
            shard.tick(now);
        });
        if applied.is_none() {
            return;
        }
    }
}
