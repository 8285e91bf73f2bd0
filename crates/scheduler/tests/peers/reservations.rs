//! Gang jobs that need the workers of several shards.

use std::time::Duration;

use crate::cluster::{Cluster, Timing, WORKERS, wait_until};
use lagoon_core::unit::Millis;
use tokio::time::sleep;

const RUN: Millis = Millis::new(2_000);
const SHORT_RUN: Millis = Millis::new(500);
/// Tasks stop before a job ends unless somebody renews them.
const SHORT_TASK_TTL: Timing = Timing {
    lease_ttl: Millis::new(500),
    task_ttl: Millis::new(1_500),
    heartbeat: Millis::new(100),
    hand_over_after: Millis::new(600_000),
};

/// Submits a gang job that takes all workers and waits until it runs; returns its id.
async fn start_on_all(cluster: &Cluster, owner: usize, shard: u16, run_time: Millis) -> String {
    cluster.wait_owner(shard, Some(owner)).await;
    cluster.wait_workers().await;
    let calls = cluster.calls(owner);
    let work = calls.submit_gang(shard, "gang", WORKERS, run_time).await;
    let running = async || calls.state(&work).await == "running";
    wait_until("all members run", running).await;
    work
}

cluster_cases! {
    /// Guards against a gang job that waits for good because no shard alone has room for it.
    over_all_shards(2, Timing::default()): cluster => {
        let shard = cluster.shard_of(0, 2);
        let work = start_on_all(&cluster, 0, shard, SHORT_RUN).await;
        let output = cluster.wait_output(shard, &work).await;
        assert_eq!(output, vec!["job"; WORKERS].join("\n"));
    }

    /// Guards against members at other shards that stop because their own owner holds no lease there.
    members_are_renewed(2, SHORT_TASK_TTL): cluster => {
        let shard = cluster.shard_of(0, 2);
        let work = start_on_all(&cluster, 0, shard, Millis::new(4_000)).await;
        let output = cluster.wait_output(shard, &work).await;
        assert_eq!(output, vec!["job"; WORKERS].join("\n"));
    }

    /// Guards against a job that is lost or started again when the borrower dies.
    borrower_dies(2, Timing::default()): cluster => {
        let shard = cluster.shard_of(0, 2);
        let work = start_on_all(&cluster, 0, shard, RUN).await;
        cluster.crash(0);
        cluster.wait_owner(shard, Some(1)).await;
        let output = cluster.wait_output(shard, &work).await;
        assert_eq!(output, vec!["job"; WORKERS].join("\n"));
    }

    /// Guards against a successor that takes borrowed members as stopped because it does not renew them itself.
    members_outlive_the_borrower(3, Timing { task_ttl: Millis::new(3_000), ..SHORT_TASK_TTL }): cluster => {
        let shard = cluster.shard_of(0, 3);
        let work = start_on_all(&cluster, 0, shard, Millis::new(7_000)).await;
        cluster.crash(0);
        cluster.wait_owner(shard, None).await;
        let output = cluster.wait_output(shard, &work).await;
        assert_eq!(output, vec!["job"; WORKERS].join("\n"));
    }

    /// Guards against a job that is lost or started again when a lender dies.
    lender_dies(2, Timing::default()): cluster => {
        let shard = cluster.shard_of(0, 2);
        let work = start_on_all(&cluster, 0, shard, RUN).await;
        cluster.crash(1);
        let output = cluster.wait_output(shard, &work).await;
        assert_eq!(output, vec!["job"; WORKERS].join("\n"));
    }

    /// Guards against a job that loses members when both shards move as planned.
    handed_over_while_running(2, Timing::default()): cluster => {
        let shard = cluster.shard_of(0, 2);
        let work = start_on_all(&cluster, 0, shard, RUN).await;
        cluster.stop(0).await;
        let output = cluster.wait_output(shard, &work).await;
        assert_eq!(output, vec!["job"; WORKERS].join("\n"));
    }

    /// Guards against reservations that are kept by a job that could not get all its members, and against a job that is
    /// not tried again.
    waits_for_room(2, Timing::default()): cluster => {
        let (first, second) = (cluster.shard_of(0, 2), cluster.shard_of(1, 2));
        let before = start_on_all(&cluster, 0, first, SHORT_RUN).await;
        cluster.wait_owner(second, Some(1)).await;
        let calls = cluster.calls(1);
        let work = calls.submit_gang(second, "next", WORKERS, SHORT_RUN).await;
        cluster.wait_output(first, &before).await;
        let output = cluster.wait_output(second, &work).await;
        assert_eq!(output, vec!["job"; WORKERS].join("\n"));
    }

    /// Guards against two borrowers that hold what the other needs for good.
    two_borrowers(2, Timing::default()): cluster => {
        cluster.wait_workers().await;
        let (first, second) = (cluster.shard_of(0, 2), cluster.shard_of(1, 2));
        cluster.wait_owner(first, Some(0)).await;
        cluster.wait_owner(second, Some(1)).await;
        let (one, other) = (cluster.calls(0), cluster.calls(1));
        let (a, b) = tokio::join!(
            one.submit_gang(first, "a", WORKERS, SHORT_RUN),
            other.submit_gang(second, "b", WORKERS, SHORT_RUN),
        );
        cluster.wait_output(first, &a).await;
        cluster.wait_output(second, &b).await;
        sleep(Duration::from_millis(100)).await;
    }
}
