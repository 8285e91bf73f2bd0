//! Adoption of the workers of a dead owner while the store is unavailable.

use std::time::Duration;

use crate::cluster::{Cluster, Timing, WORKERS, wait_until};
use lagoon_core::unit::Millis;
use lagoon_standin::fault::{FaultMode, FaultRule, FaultTarget};
use tokio::time::sleep;

const SHORT_LEASE: Timing = Timing {
    lease_ttl: Millis::new(500),
    task_ttl: Millis::new(60_000),
    heartbeat: Millis::new(100),
    hand_over_after: Millis::new(600_000),
};
const RUN: Millis = Millis::new(4_000);

fn store_down(cluster: &Cluster) {
    let down = FaultRule::new(FaultTarget::Store, FaultMode::Unreachable);
    cluster.platform.store.faults().add(down);
}

async fn total_leased_workers(cluster: &Cluster, index: usize, shards: &[u16]) -> usize {
    let mut count = 0;
    for shard in shards {
        count += cluster.calls(index).leased_workers(*shard).await;
    }
    count
}

cluster_cases! {
    /// Guards against losing the executors and tasks of a dead owner during an outage of the store, and against keeping
    /// adopted workers after their shard has an owner again.
    dead_owner_and_store_down(2, SHORT_LEASE): cluster => {
        let shards: Vec<u16> = (0..4).collect();
        let (ownerless, kept): (Vec<u16>, Vec<u16>) =
            shards.iter().partition(|shard| cluster.preferred(**shard, 2) == 0);
        for shard in &shards {
            cluster.wait_owner(*shard, Some(cluster.preferred(*shard, 2))).await;
        }
        cluster.wait_workers().await;
        let own = total_leased_workers(&cluster, 1, &kept).await;
        let work = cluster.calls(0).submit(ownerless[0], "k", RUN).await;
        let running = async || cluster.calls(0).state(&work).await == "running";
        wait_until("the job runs", running).await;
        store_down(&cluster);
        cluster.crash(0);
        let adopted = async || total_leased_workers(&cluster, 1, &kept).await == WORKERS;
        wait_until("the live process leases all workers", adopted).await;
        let tickets = cluster.calls(1).tickets(kept[0], 1).await;
        assert_eq!(cluster.calls(1).run(kept[0], &tickets[0], "echo:a").await, "a");
        sleep(Duration::from_millis(2_500)).await;
        cluster.platform.store.faults().clear(&FaultTarget::All);
        for shard in &ownerless {
            cluster.wait_owner(*shard, Some(1)).await;
        }
        let returned = async || total_leased_workers(&cluster, 1, &kept).await == own;
        wait_until("the workers are returned", returned).await;
        let reclaimed = async || total_leased_workers(&cluster, 1, &ownerless).await == WORKERS - own;
        wait_until("the home shards lease them", reclaimed).await;
        let ended = async || cluster.calls(1).state(&work).await == "ended";
        wait_until("the job ended", ended).await;
        assert_eq!(cluster.calls(1).output(&work).await.as_deref(), Some("job"));
    }

    /// Guards against an adopter that renews the tasks of the home shard: their owner may only be cut off, and starts
    /// them again elsewhere once they must have stopped.
    tasks_of_the_dead_owner_expire(2, Timing { task_ttl: Millis::new(1_500), ..SHORT_LEASE }): cluster => {
        let shard = cluster.shard_of(0, 2);
        cluster.wait_owner(shard, Some(0)).await;
        cluster.wait_workers().await;
        let work = cluster.calls(0).submit(shard, "k", RUN).await;
        let running = async || cluster.calls(0).state(&work).await == "running";
        wait_until("the job runs", running).await;
        store_down(&cluster);
        cluster.crash(0);
        sleep(Duration::from_millis(2_500)).await;
        cluster.platform.store.faults().clear(&FaultTarget::All);
        assert_eq!(cluster.wait_output(shard, &work).await, "host_lost");
    }

    /// Guards against taking workers from a live owner because the store is unavailable.
    live_owner_keeps_its_workers(2, SHORT_LEASE): cluster => {
        let shard = cluster.shard_of(0, 2);
        cluster.wait_owner(shard, Some(0)).await;
        cluster.wait_workers().await;
        let before = cluster.calls(0).leased_workers(shard).await;
        store_down(&cluster);
        sleep(Duration::from_millis(2_000)).await;
        assert_eq!(cluster.calls(0).leased_workers(shard).await, before);
        let assigned = cluster.calls(0).assigned_workers().await + cluster.calls(1).assigned_workers().await;
        assert_eq!(assigned, WORKERS);
        cluster.platform.store.faults().clear(&FaultTarget::All);
    }

    /// Guards against an adoption while the store is available, so that a peer can claim the shard at once.
    store_up(2, SHORT_LEASE): cluster => {
        let shard = cluster.shard_of(0, 2);
        let (_, epoch) = cluster.wait_owner(shard, Some(0)).await;
        cluster.crash(0);
        assert_eq!(cluster.wait_owner(shard, Some(1)).await, (1, epoch + 1));
    }
}
