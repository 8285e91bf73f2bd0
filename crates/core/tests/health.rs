//! Resting of failing workers, and the retry budget.

use lagoon_core::health::{HealthChange, RetryBudget, WorkerHealth};
use lagoon_core::id::WorkerId;
use lagoon_core::policy::{HealthPolicy, Percent};
use lagoon_core::unit::{Millis, Timestamp};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn id(number: usize) -> WorkerId {
    format!("w{number}").parse().unwrap()
}

fn health() -> WorkerHealth {
    WorkerHealth::new(HealthPolicy {
        window: Millis::new(1_000),
        failures: 3,
        rest: Millis::new(5_000),
        rested_share_cap_percent: Percent::new(20),
    })
}

/// Records `times` failures at `millis` and returns the last change.
fn fail(health: &mut WorkerHealth, worker: usize, millis: u64, times: usize) -> HealthChange {
    let changes = (0..times).map(|_| health.record_failure(&id(worker), at(millis), 10));
    changes.last().unwrap()
}

macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident($health:ident) $body:block)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                let mut $health = health();
                $body
            }
        )*
    };
}

cases! {
    /// Guards against a failing worker that keeps receiving work.
    failing_worker_rests(health) {
        assert_eq!(fail(&mut health, 0, 0, 2), HealthChange::None);
        assert_eq!(fail(&mut health, 0, 1_000, 1), HealthChange::Rested(at(6_000)));
        assert!(health.is_rested(&id(0)));
    }

    /// Guards against a worker that rests because of failures that are far apart.
    old_failures_do_not_count(health) {
        fail(&mut health, 0, 0, 2);
        assert_eq!(fail(&mut health, 0, 1_001, 1), HealthChange::None);
    }

    /// Guards against a worker that rests although it succeeded in between.
    success_resets(health) {
        fail(&mut health, 0, 0, 2);
        assert!(!health.record_success(&id(0)));
        assert_eq!(fail(&mut health, 0, 0, 2), HealthChange::None);
    }

    /// Guards against work that fails on every worker and takes the whole fleet out of use.
    rested_share_is_capped(health) {
        fail(&mut health, 0, 0, 3);
        fail(&mut health, 1, 0, 3);
        assert_eq!(fail(&mut health, 2, 0, 3), HealthChange::CapReached);
        assert_eq!(health.rested_count(), 2);
        health.remove(&id(0));
        assert_eq!(fail(&mut health, 2, 0, 1), HealthChange::Rested(at(5_000)));
    }

    /// Guards against a failing worker of a small shard that never rests.
    one_of_few_rests(health) {
        let mut change = HealthChange::None;
        for _ in 0..3 {
            change = health.record_failure(&id(0), at(0), 3);
        }
        assert_eq!(change, HealthChange::Rested(at(5_000)));
        fail(&mut health, 1, 0, 2);
        assert_eq!(health.record_failure(&id(1), at(0), 3), HealthChange::CapReached);
    }

    /// Guards against a shard that takes its only worker out of use.
    only_worker_does_not_rest(health) {
        health.record_failure(&id(0), at(0), 1);
        health.record_failure(&id(0), at(0), 1);
        assert_eq!(health.record_failure(&id(0), at(0), 1), HealthChange::CapReached);
    }

    /// Guards against a rest that never ends, or whose end is reported twice.
    rest_ends(health) {
        fail(&mut health, 0, 0, 3);
        assert_eq!(health.end_expired_rests(at(4_999)), []);
        assert_eq!(health.end_expired_rests(at(5_000)), [id(0)]);
        assert_eq!(health.end_expired_rests(at(9_000)), []);
        assert_eq!(fail(&mut health, 0, 5_000, 2), HealthChange::None);
    }

    /// Guards against a worker that keeps resting after earlier work succeeded.
    success_ends_a_rest(health) {
        fail(&mut health, 0, 0, 3);
        assert!(health.record_success(&id(0)));
        assert!(!health.is_rested(&id(0)));
        assert_eq!(health.end_expired_rests(at(9_000)), []);
    }
}

/// Guards against retries that multiply the load during an outage.
#[test]
fn retries_are_a_share_of_starts() {
    let mut budget = RetryBudget::new(Percent::new(10));
    assert!(!budget.try_retry(at(0)));
    for _ in 0..25 {
        budget.record_start(at(0));
    }
    assert!(budget.try_retry(at(1)) && budget.try_retry(at(2)));
    assert!(!budget.try_retry(at(3)));
}

/// Guards against a budget that accumulates from old starts.
#[test]
fn old_starts_do_not_count() {
    let mut budget = RetryBudget::new(Percent::new(10));
    for _ in 0..100 {
        budget.record_start(at(0));
    }
    assert!(budget.try_retry(at(59_999)));
    assert!(!budget.try_retry(at(60_000)));
}
