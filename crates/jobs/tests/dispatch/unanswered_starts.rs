//! Tests of unanswered starts, which a later incarnation of the executor may have received unless their connection is too old.

use lagoon_core::unit::Millis;
use lagoon_jobs::dispatch::StartRequest;
use lagoon_jobs::id::Incarnation;
use lagoon_jobs::run::StartOutcome;

use crate::harness::{Harness, LEASE, listing, starts, starts_within, step};
use crate::leases::longest_wait;

/// Gives up a start on a connection of this age, in milliseconds, and the next hold.
fn give_up_start(harness: &mut Harness, request: &StartRequest, connection_ms: u64) {
    let outcome = StartOutcome::Unknown {
        connection_age: Some(Millis::new(connection_ms)),
    };
    harness.dispatcher.started(request, outcome, harness.now);
    harness.dispatcher.hold_failed(request.slot, harness.now);
}

cases! {
    /// Guards against a lost task that has no run for 22 s, because its executor may have restarted before the request arrived.
    /// No later incarnation reads what is sent on a connection that was established before the last list was requested.
    an_unanswered_start_on_an_earlier_connection_ends_with_its_lease {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.advance(20_000);
        harness.list(0, &[], vec![]);
        harness.list(1, &[], vec![]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = starts(&harness.plan()).remove(0);
        let granted_at = harness.now;
        harness.advance(800);
        give_up_start(&mut harness, &request, 3_000);
        let lease = LEASE.get() * 100 / 98 - harness.now.since(granted_at).get();
        assert_eq!(starts_within(&mut harness, lease), 0);
        assert_eq!(starts_within(&mut harness, 300), 1);
    }

    /// Guards against a second run beside one of an incarnation that began after the last list was requested and before the
    /// connection was established.
    an_unanswered_start_on_a_later_connection_may_run_in_a_later_incarnation {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.list(0, &[], vec![]);
        harness.list(1, &[], vec![]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = starts(&harness.plan()).remove(0);
        harness.advance(800);
        give_up_start(&mut harness, &request, 801);
        assert_eq!(starts_within(&mut harness, longest_wait()), 0);
        assert_eq!(starts_within(&mut harness, 1_000), 1);
    }

    /// Guards against a second run beside one of a new incarnation that took the lease end on the earlier clock: the connection
    /// was established before its list, and after its start.
    a_start_on_an_earlier_clock_may_have_the_longest_lease {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = starts(&harness.plan()).remove(0);
        harness.advance(100);
        let mut restarted = listing(harness.now, &[], vec![]);
        restarted.incarnation = Some(Incarnation::new(2));
        harness.dispatcher.listed(request.slot, &restarted, harness.now, harness.now);
        harness.advance(700);
        give_up_start(&mut harness, &request, 750);
        assert_eq!(starts_within(&mut harness, longest_wait()), 0);
        assert_eq!(starts_within(&mut harness, 1_000), 1);
    }
}
