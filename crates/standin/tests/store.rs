//! Semantics of the fake store: conditional writes, limits, leases and watches.

mod util;

use std::time::Duration;

use lagoon_core::unit::{Bytes, Millis, Rate};
use lagoon_platform::store::{Precondition, PutOutcome};
use lagoon_platform::{CallEffect, ErrorKind, PlatformError, StoreClient};
use lagoon_standin::fault::{FaultMode, FaultRule, FaultTarget};
use lagoon_standin::store::{StoreHandle, StoreSettings};
use tokio::time::{Instant, sleep};

use util::transport;

/// Calls to a rate-limited store; more than its burst.
const CALLS: u32 = 30;

macro_rules! store_cases {
    ($($(#[$doc:meta])* $name:ident: $settings:expr, $store:ident, $client:ident => $body:block)*) => {
        $(
            $(#[$doc])*
            #[tokio::test]
            async fn $name() {
                let $store = StoreHandle::bind($settings).await.unwrap();
                let $client = StoreClient::new($store.endpoint(), transport("p1"));
                $body
                $store.stop().await;
            }
        )*
    };
}

fn limited() -> StoreSettings {
    StoreSettings {
        writes: Rate::new(2_000),
        reads: Rate::new(3_000),
        max_value: Bytes::new(8),
        ..StoreSettings::default()
    }
}

/// Returns the maximum number of calls that a limit allows since `started_at`, including the burst of one second.
fn allowed(per_second: f64, started_at: Instant) -> f64 {
    per_second * (1.0 + started_at.elapsed().as_secs_f64())
}

fn status(error: PlatformError) -> u16 {
    match error.kind() {
        ErrorKind::Refused { status, .. } => *status,
        _ => panic!("not refused: {error}"),
    }
}

store_cases! {
    /// Guards against a lost update by a conditional write.
    conflict_reports_the_current_version: StoreSettings::default(), store, client => {
        let written = client.put("a/b", "1", Precondition::Absent, None).await.unwrap();
        assert_eq!(written, PutOutcome::Written(1));
        let absent = client.put("a/b", "2", Precondition::Absent, None).await.unwrap();
        assert_eq!(absent, PutOutcome::Conflict { current: Some(1) });
        let newer = client.put("a/b", "2", Precondition::Version(1), None).await.unwrap();
        assert_eq!(newer, PutOutcome::Written(2));
        let older = client.put("a/b", "3", Precondition::Version(1), None).await.unwrap();
        assert_eq!(older, PutOutcome::Conflict { current: Some(2) });
        let missing = client.put("c", "3", Precondition::Version(1), None).await.unwrap();
        assert_eq!(missing, PutOutcome::Conflict { current: None });
        assert_eq!(client.get("a/b").await.unwrap().unwrap().value, "2");
        assert_eq!(store.calls().conflicts, 3);
    }

    /// Guards against a fake that accepts larger values than the real store.
    large_value_is_refused: limited(), store, client => {
        let large = client.put("k", "123456789", Precondition::Any, None).await.unwrap_err();
        assert_eq!(status(large), 413);
        assert_eq!(client.get("k").await.unwrap(), None);
    }

    /// Guards against a fake that accepts more writes than the real store, which would hide overload in tests.
    writes_are_limited: limited(), store, client => {
        let started_at = Instant::now();
        let mut written = 0;
        for _ in 0..CALLS {
            match client.put("k", "1", Precondition::Any, None).await {
                Ok(_) => written += 1,
                Err(error) => {
                    assert_eq!(error.effect(), CallEffect::None);
                    assert_eq!(status(error), 429);
                }
            }
        }
        assert!(f64::from(written) <= allowed(2.0, started_at), "{written} writes");
        assert_eq!(store.calls().limited, u64::from(CALLS - written));
    }

    /// Guards against a fake that accepts more reads than the real store.
    reads_are_limited: limited(), store, client => {
        let started_at = Instant::now();
        let mut read = 0;
        for _ in 0..CALLS {
            match client.get("k").await {
                Ok(_) => read += 1,
                Err(error) => assert_eq!(status(error), 429),
            }
        }
        assert!(f64::from(read) <= allowed(3.0, started_at), "{read} reads");
        assert_eq!(store.calls().limited, u64::from(CALLS - read));
    }

    /// Guards against a client that reports a write as without effect when only its response was lost.
    lost_response_after_effect: StoreSettings::default(), store, client => {
        store.faults().add(FaultRule::new(FaultTarget::Store, FaultMode::DropAnswer).times(1));
        let error = client.put("k", "1", Precondition::Absent, None).await.unwrap_err();
        assert!(matches!(error.kind(), ErrorKind::ConnectionLost(_)), "{error}");
        assert_eq!(error.effect(), CallEffect::Unknown);
        assert_eq!(client.get("k").await.unwrap().unwrap().value, "1");
    }

    /// Guards against keys that outlive their lease, and against a watch that misses their removal.
    lease_expiry_ends_a_watch: StoreSettings::default(), store, client => {
        let lease = client.grant_lease(Millis::new(500)).await.unwrap();
        client.put("m/p1", "x", Precondition::Absent, Some(lease)).await.unwrap();
        assert!(client.keep_alive(lease).await.unwrap());
        let list = client.list("m/").await.unwrap();
        assert_eq!(list.entries.len(), 1);
        let changes = client.watch("m/", list.revision, Millis::new(5_000)).await.unwrap();
        assert_eq!(changes.deleted, ["m/p1"]);
        assert!(!client.keep_alive(lease).await.unwrap());
        assert_eq!(store.calls().watch, 1);
    }

    /// Guards against a watch that misses a change or returns keys outside its prefix.
    watch_returns_the_change: StoreSettings::default(), store, client => {
        let waiting = client.clone();
        let watch = tokio::spawn(async move { waiting.watch("a/", 0, Millis::new(5_000)).await });
        sleep(Duration::from_millis(20)).await;
        client.put("b/x", "1", Precondition::Any, None).await.unwrap();
        client.put("a/x y?", "2", Precondition::Any, None).await.unwrap();
        let changes = watch.await.unwrap().unwrap();
        assert_eq!(changes.entries.len(), 1);
        assert_eq!(changes.entries[0].key, "a/x y?");
        let nothing = client.watch("a/", changes.revision, Millis::new(10)).await.unwrap();
        assert!(nothing.entries.is_empty() && nothing.deleted.is_empty());
        assert_eq!(store.calls().watch, 2);
    }

    /// Guards against a fault for one process that affects others.
    one_process_is_cut_off: StoreSettings::default(), store, client => {
        let rule = FaultRule::new(FaultTarget::Store, FaultMode::Unreachable);
        store.faults().add(rule.from_process("p1".parse().unwrap()));
        let other = StoreClient::new(store.endpoint(), transport("p2"));
        assert!(client.put("k", "1", Precondition::Any, None).await.is_err());
        assert_eq!(other.get("k").await.unwrap(), None);
        store.faults().clear(&FaultTarget::All);
        assert_eq!(client.get("k").await.unwrap(), None);
    }

    /// Guards against a frozen store that responds, and against one that stays frozen after the fault is cleared.
    freeze_ends_when_cleared: StoreSettings::default(), store, client => {
        store.faults().add(FaultRule::new(FaultTarget::Store, FaultMode::Freeze));
        let waiting = client.clone();
        let started_at = Instant::now();
        let get = tokio::spawn(async move { waiting.get("k").await });
        sleep(Duration::from_millis(50)).await;
        store.faults().clear(&FaultTarget::Store);
        assert_eq!(get.await.unwrap().unwrap(), None);
        assert!(started_at.elapsed() >= Duration::from_millis(50));
    }
}
