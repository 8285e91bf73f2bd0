//! Gang jobs that need the workers of several shards.

use std::time::Duration;

use crate::cluster::{Cluster, Timing, WORKERS, wait_until};
use lagoon_core::unit::Millis;
use tokio::time::sleep;

const RUN: Millis = Millis::new(2_000);
const SHORT_RUN: Millis = Millis::new(500);
/// Tasks expire before a job ends unless they are renewed.
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
    wait_until("all tasks run", running).await;
    work
}

cluster_cases! {
    /// Guards against a gang job that waits forever because no single shard has the capacity for it.
    over_all_shards(2, Timing::default()): cluster => {
        let shard = cluster.shard_of(0, 2);
        let work = start_on_all(&cluster, 0, shard, SHORT_RUN).await;
        let output = cluster.wait_output(shard, &work).await;
        assert_eq!(output, vec!["job"; WORKERS].join("\n"));
    }

    /// Guards against gang tasks that expire on workers of other shards, where their own owner holds no lease.
    remote_tasks_are_renewed(2, SHORT_TASK_TTL): cluster => {
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

    /// Guards against a successor that assumes that tasks on borrowed workers have stopped, because it does not
    /// renew them itself.
    remote_tasks_outlive_the_borrower(3, Timing { task_ttl: Millis::new(3_000), ..SHORT_TASK_TTL }): cluster => {
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

    /// Guards against a job that loses tasks when the borrowing shard and lending shards are handed over.
    handed_over_while_running(2, Timing::default()): cluster => {
        let shard = cluster.shard_of(0, 2);
        let work = start_on_all(&cluster, 0, shard, RUN).await;
        cluster.stop(0).await;
        let output = cluster.wait_output(shard, &work).await;
        assert_eq!(output, vec!["job"; WORKERS].join("\n"));
    }

    /// Guards against a job that keeps its reservations although not all of its tasks fit, and against a job that is
    /// not retried.
    waits_for_capacity(2, Timing::default()): cluster => {
        let (first, second) = (cluster.shard_of(0, 2), cluster.shard_of(1, 2));
        let before = start_on_all(&cluster, 0, first, SHORT_RUN).await;
        cluster.wait_owner(second, Some(1)).await;
        let calls = cluster.calls(1);
        let work = calls.submit_gang(second, "next", WORKERS, SHORT_RUN).await;
        cluster.wait_output(first, &before).await;
        let output = cluster.wait_output(second, &work).await;
        assert_eq!(output, vec!["job"; WORKERS].join("\n"));
    }

    /// Guards against a deadlock of two borrowers, each of which holds the capacity that the other needs.
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
