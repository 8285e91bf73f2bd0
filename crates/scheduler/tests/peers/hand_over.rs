//! Planned handover and graceful stop between scheduler processes.

use std::time::Duration;

use crate::cluster::{Cluster, Timing, wait_until, with_timeout};
use lagoon_core::unit::Millis;
use lagoon_standin::fault::{FaultMode, FaultRule, FaultTarget};
use tokio::time::sleep;

/// The lease outlasts every timeout, so that a successor that must wait until a lease expires fails the test.
const LONG_LEASE: Timing = Timing {
    lease_ttl: Millis::new(20_000),
    task_ttl: Millis::new(120_000),
    heartbeat: Millis::new(100),
    hand_over_after: Millis::new(600_000),
};
const SHORT_HAND_OVER: Timing = Timing {
    lease_ttl: Millis::new(1_000),
    task_ttl: Millis::new(60_000),
    heartbeat: Millis::new(100),
    hand_over_after: Millis::new(1_000),
};

/// Run time of a job that is still running when its shard is handed over.
const RUN: Millis = Millis::new(1_500);

/// Repeats a request as a gateway does while the shard has no serving owner.
async fn run(cluster: &Cluster, shard: u16, ticket: &str, payload: &str) -> String {
    let moving = ["handing_over", "not_owner", "not_serving", "draining"];
    let answered = async {
        loop {
            let (owner, _) = cluster.wait_owner(shard, None).await;
            let response = cluster.calls(owner).run(shard, ticket, payload).await;
            if !moving.contains(&response.as_str()) {
                return response;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    with_timeout("the request is answered", answered).await
}

cluster_cases! {
    /// Guards against a graceful stop that interrupts a request, loses tickets, runs a ticket twice, or keeps leases.
    stop_hands_over(2, LONG_LEASE): cluster => {
        let shard = cluster.shard_of(0, 2);
        let (_, epoch) = cluster.wait_owner(shard, Some(0)).await;
        let calls = cluster.calls(0).clone();
        let tickets = calls.tickets(shard, 3).await;
        assert_eq!(calls.run(shard, &tickets[0], "echo:first").await, "first");
        let slow = tickets[1].clone();
        let in_flight = tokio::spawn(async move {
            calls.run(shard, &slow, "sleep:700;echo:slow").await
        });
        let sent = async || cluster.platform.executors.runs().len() == 2;
        wait_until("the slow request runs", sent).await;
        cluster.stop(0).await;
        assert_eq!(in_flight.await.unwrap(), "slow");
        assert_eq!(cluster.wait_owner(shard, Some(1)).await, (1, epoch + 1));
        assert_eq!(run(&cluster, shard, &tickets[0], "echo:first").await, "first");
        assert_eq!(run(&cluster, shard, &tickets[1], "sleep:700;echo:slow").await, "slow");
        assert_eq!(run(&cluster, shard, &tickets[2], "echo:third").await, "third");
        assert_eq!(cluster.platform.executors.runs().len(), 3);
    }

    /// Guards against a process that reports ready while it releases its shards.
    readiness_first(2, Timing::default()): cluster => {
        let shard = cluster.shard_of(0, 2);
        cluster.wait_owner(shard, Some(0)).await;
        let calls = cluster.calls(0).clone();
        let ticket = calls.tickets(shard, 1).await.remove(0);
        let slow =
            tokio::spawn(async move { calls.run(shard, &ticket, "sleep:4000;echo:a").await });
        let sent = async || cluster.platform.executors.runs().len() == 1;
        wait_until("the slow request runs", sent).await;
        let process = cluster.take(0);
        let readiness = process.readiness();
        // The process knows the owners of all shards only after a heartbeat.
        wait_until("readiness is on", async || readiness.reason().is_none()).await;
        let stopping = tokio::spawn(process.stop());
        wait_until("readiness is off", async || readiness.reason().is_some()).await;
        assert!(!slow.is_finished() && !stopping.is_finished());
        assert_eq!(slow.await.unwrap(), "a");
        stopping.await.unwrap();
    }

    /// Guards against a stop that hangs or loses recorded work when no peer can take the shards over.
    stop_alone(1, LONG_LEASE): cluster => {
        let work = cluster.calls(0).submit(0, "k", RUN).await;
        cluster.stop(0).await;
        let next = cluster.start().await;
        cluster.wait_owner(0, Some(next)).await;
        let ended = async || cluster.calls(next).state(&work).await == "ended";
        wait_until("the job ended", ended).await;
    }

    /// Guards against a job that is lost, started again or not tracked after its shard was handed over.
    running_job(2, LONG_LEASE): cluster => {
        let shard = cluster.shard_of(0, 2);
        cluster.wait_owner(shard, Some(0)).await;
        let work = cluster.calls(0).submit(shard, "k", RUN).await;
        assert_eq!(cluster.calls(0).hand_over(shard, "scheduler-1").await, Ok(1));
        cluster.wait_owner(shard, Some(1)).await;
        let ended = async || cluster.calls(1).state(&work).await == "ended";
        wait_until("the job ended", ended).await;
        assert_eq!(cluster.calls(1).output(&work).await.as_deref(), Some("job"));
    }

    /// Guards against an operator's handover that is undone by the preferred owner or by an election before the next
    /// heartbeat, and against a repeated command that moves the shard again.
    operator_moves_a_shard(2, Timing { heartbeat: Millis::new(400), hand_over_after: Millis::new(2_500), ..SHORT_HAND_OVER }): cluster => {
        let shard = cluster.shard_of(0, 2);
        let (_, epoch) = cluster.wait_owner(shard, Some(0)).await;
        let ticket = cluster.calls(0).tickets(shard, 1).await.remove(0);
        assert_eq!(cluster.calls(0).hand_over(shard, "scheduler-1").await, Ok(1));
        assert_eq!(cluster.wait_owner(shard, Some(1)).await, (1, epoch + 1));
        sleep(Duration::from_millis(4_000)).await;
        assert_eq!(cluster.owner(shard).await, Some((1, epoch + 1)));
        assert_eq!(cluster.calls(0).hand_over(shard, "scheduler-1").await, Ok(0));
        assert_eq!(run(&cluster, shard, &ticket, "echo:a").await, "a");
    }

    /// Guards against a handover to a process that does not exist.
    unknown_successor(1, Timing::default()): cluster => {
        let refused = cluster.calls(0).hand_over(0, "scheduler-9").await;
        assert_eq!(refused, Err("invalid_value".to_owned()));
        assert_eq!(cluster.wait_owner(0, None).await.0, 0);
    }

    /// Guards against shards that are not handed over to an added process, and against tickets lost in the handover.
    preferred_process_takes_over(1, SHORT_HAND_OVER): cluster => {
        let added = cluster.start().await;
        let shard = cluster.shard_of(added, 2);
        let ticket = cluster.calls(0).tickets(shard, 1).await.remove(0);
        cluster.wait_owner(shard, Some(added)).await;
        assert_eq!(run(&cluster, shard, &ticket, "echo:a").await, "a");
    }

    /// Guards against a handover to a process that has just started.
    recently_started_process_waits(1, Timing { hand_over_after: Millis::new(600_000), ..SHORT_HAND_OVER }): cluster => {
        let added = cluster.start().await;
        let shard = cluster.shard_of(added, 2);
        let before = cluster.wait_owner(shard, Some(0)).await;
        sleep(Duration::from_millis(2_500)).await;
        assert_eq!(cluster.owner(shard).await, Some(before));
    }

    /// Guards against an owner that does not serve again after its successor died.
    dead_successor(2, Timing::default()): cluster => {
        let shard = cluster.shard_of(0, 2);
        let (_, epoch) = cluster.wait_owner(shard, Some(0)).await;
        let ticket = cluster.calls(0).tickets(shard, 1).await.remove(0);
        cluster.crash(1);
        let refused = cluster.calls(0).hand_over(shard, "scheduler-1").await;
        assert_eq!(refused, Err("not_serving".to_owned()));
        assert_eq!(cluster.wait_owner(shard, Some(0)).await, (0, epoch));
        assert_eq!(run(&cluster, shard, &ticket, "echo:a").await, "a");
    }

    /// Guards against an owner that does not serve again after its successor could not claim the shard.
    successor_without_store(2, Timing::default()): cluster => {
        let shard = cluster.shard_of(0, 2);
        let (_, epoch) = cluster.wait_owner(shard, Some(0)).await;
        let ticket = cluster.calls(0).tickets(shard, 1).await.remove(0);
        let cut = FaultRule::new(FaultTarget::Store, FaultMode::Unreachable);
        let cut = cut.from_process("scheduler-1".parse().unwrap());
        cluster.platform.store.faults().add(cut);
        let refused = cluster.calls(0).hand_over(shard, "scheduler-1").await;
        assert_eq!(refused, Err("not_serving".to_owned()));
        assert_eq!(cluster.wait_owner(shard, Some(0)).await, (0, epoch));
        assert_eq!(run(&cluster, shard, &ticket, "echo:a").await, "a");
        cluster.platform.store.faults().clear(&FaultTarget::All);
    }

    /// Guards against running a ticket again after the owner died without a handover.
    crash_loses_the_ticket_table(2, Timing::default()): cluster => {
        let shard = cluster.shard_of(0, 2);
        cluster.wait_owner(shard, Some(0)).await;
        let ticket = cluster.calls(0).tickets(shard, 1).await.remove(0);
        cluster.crash(0);
        cluster.wait_owner(shard, Some(1)).await;
        assert_eq!(run(&cluster, shard, &ticket, "echo:a").await, "ticket_epoch_lost");
        assert!(cluster.platform.executors.runs().is_empty());
    }
}

/// Guards against requests that run twice or are lost while a shard under load is handed over repeatedly.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn load_during_hand_overs() {
    const CALLERS: usize = 8;
    const REQUESTS: usize = 25;
    let cluster = std::sync::Arc::new(Cluster::spawn(2, Timing::default()).await);
    let shard = cluster.shard_of(0, 2);
    let (owner, _) = cluster.wait_owner(shard, Some(0)).await;
    let count = u32::try_from(CALLERS * REQUESTS).unwrap();
    let tickets = cluster.calls(owner).tickets(shard, count).await;
    let callers = tickets.chunks(REQUESTS).map(|tickets| {
        let (cluster, tickets) = (cluster.clone(), tickets.to_vec());
        tokio::spawn(async move {
            for ticket in tickets {
                let payload = format!("sleep:30;echo:{ticket}");
                assert_eq!(run(&cluster, shard, &ticket, &payload).await, ticket);
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    for to in [1, 0, 1] {
        sleep(Duration::from_millis(200)).await;
        let from = 1 - to;
        cluster.wait_owner(shard, Some(from)).await;
        let name = format!("scheduler-{to}");
        assert_eq!(cluster.calls(from).hand_over(shard, &name).await, Ok(1));
    }
    for caller in callers {
        caller.await.unwrap();
    }
    assert_eq!(cluster.platform.executors.runs().len(), CALLERS * REQUESTS);
    let cluster = std::sync::Arc::into_inner(cluster).unwrap();
    cluster.finish().await;
}
