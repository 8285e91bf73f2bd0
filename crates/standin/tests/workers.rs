//! Semantics of the fake workers: leases, epochs, capacity and idempotent starts.

mod util;

use std::time::Duration;

use lagoon_core::id::Epoch;
use lagoon_core::unit::Millis;
use lagoon_platform::worker::{
    AcknowledgeRequest, LeaseOutcome, LeaseRefusalReason, ReleaseRequest, ShardEpoch, StartOutcome,
    StartRefusalReason, TaskState,
};
use lagoon_platform::{CallEffect, ClientSettings, Transport, WorkerClient};
use lagoon_standin::fault::{FaultMode, FaultRule, FaultTarget};
use tokio::time::sleep;

use util::{Fleet, cores, granted, lease, start, task, worker};

macro_rules! worker_cases {
    ($($(#[$doc:meta])* $name:ident: $fleet:ident => $body:block)*) => {
        $(
            $(#[$doc])*
            #[tokio::test]
            async fn $name() {
                let $fleet = Fleet::bind().await;
                $body
                $fleet.handle.stop().await;
            }
        )*
    };
}

fn acknowledge_request(tasks: Vec<lagoon_core::id::TaskId>) -> AcknowledgeRequest {
    let ShardEpoch { shard, shard_epoch } = util::owner();
    AcknowledgeRequest {
        shard,
        shard_epoch,
        tasks,
    }
}

fn reason(outcome: StartOutcome) -> StartRefusalReason {
    match outcome {
        StartOutcome::Refused(refusal) => refusal.reason,
        other => panic!("not refused: {other:?}"),
    }
}

worker_cases! {
    /// Guards against two processes that hold the lease of one worker.
    lease_is_exclusive: fleet => {
        let first = fleet.lease(0).await;
        let outcome = fleet.clients[0].lease(&lease("p2")).await.unwrap();
        let LeaseOutcome::Refused(refusal) = outcome else {
            panic!("a second holder obtained the lease");
        };
        assert_eq!(refusal.reason, LeaseRefusalReason::Held);
        assert_eq!(refusal.holder, Some("p1".parse().unwrap()));
        assert!(refusal.remaining_ms > Millis::ZERO);
        assert_eq!(refusal.epoch, first.epoch);
    }

    /// Guards against a released or expired lease that blocks the next holder, and against a reused epoch.
    next_holder_gets_a_higher_epoch: fleet => {
        let first = fleet.lease(0).await;
        let release = ReleaseRequest { holder: "p1".parse().unwrap(), epoch: first.epoch };
        assert!(fleet.clients[0].release(&release).await.unwrap());
        assert!(!fleet.clients[0].release(&release).await.unwrap());
        let mut short = lease("p2");
        short.ttl_ms = Millis::new(20);
        let second = granted(fleet.clients[0].lease(&short).await.unwrap());
        assert!(second.epoch > first.epoch);
        sleep(Duration::from_millis(30)).await;
        assert!(fleet.lease(0).await.epoch > second.epoch);
    }

    /// Guards against a renewal that changes the epoch, so that starts of the same holder are refused.
    renewal_keeps_the_epoch: fleet => {
        let first = fleet.lease(0).await;
        let mut renewal = lease("p1");
        renewal.known_epoch = Some(first.epoch);
        let second = granted(fleet.clients[0].lease(&renewal).await.unwrap());
        assert_eq!(second.epoch, first.epoch);
    }

    /// Guards against a start by a previous holder of the lease.
    lower_epoch_is_refused: fleet => {
        let old = fleet.lease(0).await.epoch;
        let new = fleet.lease(0).await.epoch;
        assert!(old < new);
        let outcome = fleet.start(0, &start(old, 1)).await;
        assert_eq!(reason(outcome), StartRefusalReason::WrongEpoch);
        assert_eq!(fleet.start(0, &start(new, 1)).await, StartOutcome::Started);
    }

    /// Guards against a start or lease renewal by a previous owner of the shard.
    lower_shard_epoch_is_refused: fleet => {
        let epoch = fleet.lease(0).await.epoch;
        let mut newer = start(epoch, 1);
        newer.shard_epoch = Epoch::new(2);
        assert_eq!(fleet.start(0, &newer).await, StartOutcome::Started);
        let outcome = fleet.start(0, &start(epoch, 2)).await;
        assert_eq!(reason(outcome), StartRefusalReason::LowerShardEpoch);
        let outcome = fleet.clients[0].lease(&lease("p1")).await.unwrap();
        let LeaseOutcome::Refused(refusal) = outcome else {
            panic!("a previous owner of the shard obtained the lease");
        };
        assert_eq!(refusal.reason, LeaseRefusalReason::LowerShardEpoch);
    }

    /// Guards against a worker that accepts more than its capacity, and against an excess that isn't reported.
    excess_is_refused_and_reported: fleet => {
        let epoch = fleet.lease(0).await.epoch;
        let mut large = start(epoch, 1);
        large.resources = cores(3);
        assert_eq!(fleet.start(0, &large).await, StartOutcome::Started);
        assert_eq!(fleet.handle.violations().count, 0);
        large.task = task(2);
        let outcome = fleet.start(0, &large).await;
        assert_eq!(reason(outcome), StartRefusalReason::DoesNotFit);
        assert_eq!(fleet.handle.violations().count, 1);
        assert_eq!(fleet.lease(0).await.usage.assigned, cores(3));
    }

    /// Guards against a repeated start request that runs the task twice.
    start_is_idempotent: fleet => {
        let epoch = fleet.lease(0).await.epoch;
        assert_eq!(fleet.start(0, &start(epoch, 1)).await, StartOutcome::Started);
        let known = StartOutcome::AlreadyKnown(TaskState::Running);
        assert_eq!(fleet.start(0, &start(epoch, 1)).await, known);
        assert_eq!(fleet.lease(0).await.usage.assigned, cores(1));
        assert_eq!(fleet.handle.violations().count, 0);
    }

    /// Guards against a task that starts after it was stopped.
    stop_before_start: fleet => {
        let epoch = fleet.lease(0).await.epoch;
        let stopped = TaskState::Stopped { started: false };
        let response = fleet.clients[0].stop(&task(1), &util::owner()).await.unwrap();
        assert_eq!(response.state, stopped);
        let known = StartOutcome::AlreadyKnown(stopped);
        assert_eq!(fleet.start(0, &start(epoch, 1)).await, known);
    }

    /// Guards against a delayed start that is dropped when its caller times out; it must still take effect.
    delayed_start_takes_effect: fleet => {
        let epoch = fleet.lease(0).await.epoch;
        let target = FaultTarget::Worker(worker(0));
        let delay = FaultMode::Delay(Millis::new(300));
        fleet.handle.faults().add(FaultRule::new(target, delay).times(1));
        let settings = ClientSettings {
            request_timeout: Millis::new(100),
            ..ClientSettings::default()
        };
        let impatient = WorkerClient::new(fleet.handle.endpoint(&worker(0)), Transport::new(settings));
        let error = impatient.start(&start(epoch, 1)).await.unwrap_err();
        assert_eq!(error.effect(), CallEffect::Unknown);
        sleep(Duration::from_millis(600)).await;
        let known = StartOutcome::AlreadyKnown(TaskState::Running);
        assert_eq!(fleet.start(0, &start(epoch, 1)).await, known);
    }

    /// Guards against a second run of a task, on the same or another worker, that isn't reported.
    second_run_is_reported: fleet => {
        let epoch = fleet.lease(0).await.epoch;
        let other = fleet.lease(1).await.epoch;
        assert_eq!(fleet.start(0, &start(epoch, 1)).await, StartOutcome::Started);
        assert_eq!(fleet.start(1, &start(other, 1)).await, StartOutcome::Started);
        assert_eq!(fleet.handle.violations().count, 1);
        fleet.clients[0].stop(&task(1), &util::owner()).await.unwrap();
        let tasks = vec![task(1)];
        let request = acknowledge_request(tasks);
        assert_eq!(fleet.clients[0].acknowledge(&request).await.unwrap().forgotten, 1);
        assert_eq!(fleet.start(0, &start(epoch, 1)).await, StartOutcome::Started);
        assert_eq!(fleet.handle.violations().count, 3);
    }

    /// Guards against an outcome that is lost before it is acknowledged, and against one that is kept afterwards.
    outcome_is_kept_until_acknowledged: fleet => {
        let granted_lease = fleet.lease(0).await;
        let epoch = granted_lease.epoch;
        let mut short = start(epoch, 1);
        short.run_ms = Millis::ZERO;
        assert_eq!(fleet.start(0, &short).await, StartOutcome::Started);
        let mut renewal = lease("p1");
        renewal.known_epoch = Some(epoch);
        renewal.known_sequence = granted_lease.inventory.sequence;
        let delta = granted(fleet.clients[0].lease(&renewal).await.unwrap()).inventory;
        assert!(!delta.full);
        let output = "text".to_owned();
        assert_eq!(delta.tasks[0].state, TaskState::Succeeded { output });
        let request = acknowledge_request(vec![task(1)]);
        fleet.clients[0].acknowledge(&request).await.unwrap();
        renewal.known_sequence = delta.sequence;
        let delta = granted(fleet.clients[0].lease(&renewal).await.unwrap()).inventory;
        assert_eq!((delta.tasks.len(), delta.forgotten), (0, vec![task(1)]));
    }

    /// Guards against tasks that keep running without renewals, and against renewals that have no effect.
    tasks_stop_without_renewal: fleet => {
        let mut short = lease("p1");
        short.task_ttl_ms = Millis::new(600);
        let epoch = granted(fleet.clients[0].lease(&short).await.unwrap()).epoch;
        assert_eq!(fleet.start(0, &start(epoch, 1)).await, StartOutcome::Started);
        let mut other_shard = short.clone();
        other_shard.known_epoch = Some(epoch);
        other_shard.shard = "cluj:1".parse().unwrap();
        other_shard.renew_tasks_of = vec![ShardEpoch {
            shard: util::shard(),
            shard_epoch: Epoch::new(1),
        }];
        sleep(Duration::from_millis(50)).await;
        let response = granted(fleet.clients[0].lease(&other_shard).await.unwrap());
        assert_eq!(response.inventory.tasks[0].state, TaskState::Running);
        other_shard.renew_tasks_of.clear();
        sleep(Duration::from_millis(700)).await;
        let response = granted(fleet.clients[0].lease(&other_shard).await.unwrap());
        let stopped = TaskState::Stopped { started: true };
        assert_eq!(response.inventory.tasks[0].state, stopped);
    }

    /// Guards against a previous owner that starts tasks after its successor has fenced the worker.
    fence_refuses_earlier_owner: fleet => {
        let epoch = fleet.lease(0).await.epoch;
        assert_eq!(fleet.start(0, &start(epoch, 1)).await, StartOutcome::Started);
        let mut successor = util::owner();
        successor.shard_epoch = Epoch::new(2);
        let response = fleet.clients[0].fence(&successor).await.unwrap();
        assert_eq!(response.tasks.len(), 1);
        let refused = fleet.start(0, &start(epoch, 2)).await;
        assert_eq!(reason(refused), StartRefusalReason::LowerShardEpoch);
        assert!(fleet.clients[0].stop(&task(1), &util::owner()).await.is_err());
    }

    /// Guards against a renewal of an expired lease, which would keep tasks running that the owner considers stopped.
    expired_renewal_is_refused: fleet => {
        let mut short = lease("p1");
        short.ttl_ms = Millis::new(100);
        let epoch = granted(fleet.clients[0].lease(&short).await.unwrap()).epoch;
        sleep(Duration::from_millis(200)).await;
        short.known_epoch = Some(epoch);
        let LeaseOutcome::Refused(refusal) = fleet.clients[0].lease(&short).await.unwrap() else {
            panic!("an expired lease was renewed");
        };
        assert_eq!(refusal.reason, LeaseRefusalReason::Lapsed);
    }

    /// Guards against a second attempt of a task that isn't reported while the first one runs on another worker.
    second_attempt_elsewhere_is_reported: fleet => {
        let epoch = fleet.lease(0).await.epoch;
        let other = fleet.lease(1).await.epoch;
        assert_eq!(fleet.start(0, &start(epoch, 1)).await, StartOutcome::Started);
        let mut second = start(other, 1);
        second.task = "w:cluj:0:1:1:0+1.2".parse().unwrap();
        assert_eq!(second.task.work(), start(epoch, 1).task.work());
        assert_eq!(fleet.start(1, &second).await, StartOutcome::Started);
        assert_eq!(fleet.handle.violations().count, 1);
    }

    /// Guards against tasks or leases that survive a crash of their worker.
    crash_loses_tasks: fleet => {
        let before = fleet.lease(0).await;
        assert_eq!(fleet.start(0, &start(before.epoch, 1)).await, StartOutcome::Started);
        assert!(fleet.handle.crash(&worker(0)));
        assert!(fleet.clients[0].lease(&lease("p1")).await.is_err());
        assert!(fleet.handle.restart(&worker(0)));
        let after = fleet.lease(0).await;
        assert!(after.incarnation > before.incarnation && after.epoch > before.epoch);
        assert!(after.inventory.full && after.inventory.tasks.is_empty());
    }
}
