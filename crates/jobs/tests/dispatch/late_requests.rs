//! Tests of requests whose lease end is a time on the clock of an earlier incarnation, given up after the later one is known.

use lagoon_core::unit::{Millis, Timestamp};
use lagoon_jobs::dispatch::{Effect, HoldAction, StartRequest};
use lagoon_jobs::fleet::ExecutorSlot;
use lagoon_jobs::id::Incarnation;
use lagoon_jobs::run::{Listing, StartOutcome};

use crate::harness::{Harness, MAX_LEASE, listing, starts, starts_within, step};

cases! {
    /// Guards against a second run beside one whose lease the start extends late, although it is refused then.
    a_start_given_up_after_the_restart_is_known {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = starts(&harness.plan()).remove(0);
        observe_restart(&mut harness, &request);
        confirm_stops(&mut harness);
        harness.advance(1_000);
        harness.dispatcher.started(&request, StartOutcome::Unknown { connection_age: None }, harness.now);
        let given_up_at = harness.now;
        list_restarted(&mut harness, request.slot, 100, &[]);
        run_again(&mut harness, request.slot);
        assert_runs_until_leases_expire(&mut harness, request.slot, given_up_at);
    }

    /// Guards against the same when the run of the start has been dropped before.
    a_start_given_up_after_its_run_was_dropped {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = starts(&harness.plan()).remove(0);
        list_restarted(&mut harness, request.slot, 0, &[]);
        observe_restart(&mut harness, &request);
        confirm_stops(&mut harness);
        list_restarted(&mut harness, request.slot, 100, &[]);
        let again = run_again(&mut harness, request.slot);
        harness.advance(880);
        harness.dispatcher.started(&request, StartOutcome::Unknown { connection_age: None }, harness.now);
        let given_up_at = harness.now;
        list_restarted(&mut harness, again.slot, 20, &[&again]);
        assert_runs_until_leases_expire(&mut harness, request.slot, given_up_at);
    }

    /// Guards against a second run beside one whose lease a hold extends late.
    a_hold_given_up_after_the_restart_is_known {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = harness.start_all().remove(0);
        let hold = harness.dispatcher.next_hold(request.slot, true, harness.now);
        assert!(matches!(hold, HoldAction::Hold(req) if req.lease_end_ms.is_some()));
        observe_restart(&mut harness, &request);
        harness.advance(2_500);
        harness.dispatcher.hold_failed(request.slot, harness.now);
        let given_up_at = harness.now;
        list_restarted(&mut harness, request.slot, 250, &[]);
        run_again(&mut harness, request.slot);
        assert_runs_until_leases_expire(&mut harness, request.slot, given_up_at);
    }
}

fn observe_restart(harness: &mut Harness, request: &StartRequest) {
    harness.register(request.executor.as_str(), 4, 2);
}

fn confirm_stops(harness: &mut Harness) {
    for effect in harness.dispatcher.take_effects() {
        if let Effect::Stop(stop) = effect {
            harness.dispatcher.stop_confirmed(&stop, harness.now);
        }
    }
}

/// Delivers a list of the later incarnation after `ms`.
fn list_restarted(harness: &mut Harness, slot: ExecutorSlot, ms: u64, running: &[&StartRequest]) {
    harness.advance(ms);
    let rows: Vec<_> = running
        .iter()
        .map(|run| (run.task, run.number.get()))
        .collect();
    let restarted = Listing {
        incarnation: Some(Incarnation::new(2)),
        executor_ms: clock(harness.now),
        ..listing(harness.now, &rows, vec![])
    };
    let now = harness.now;
    harness.dispatcher.listed(slot, &restarted, now, now);
}

/// Starts the task again on the later incarnation, which confirms and lists the run.
fn run_again(harness: &mut Harness, slot: ExecutorSlot) -> StartRequest {
    let again = starts(&harness.plan()).remove(0);
    assert_eq!(again.slot, slot);
    harness.advance(20);
    let executor_ms = Some(clock(harness.now));
    let outcome = StartOutcome::Started { executor_ms };
    harness.dispatcher.started(&again, outcome, harness.now);
    list_restarted(harness, slot, 20, &[&again]);
    again
}

/// Returns the clock of the later incarnation, which runs since before its first list.
fn clock(now: Timestamp) -> u64 {
    now.as_millis() + 1_000
}

/// Checks that the task is not started again while a request that was given up at `given_up_at` may take effect and the
/// lease that it grants may last.
fn assert_runs_until_leases_expire(
    harness: &mut Harness,
    slot: ExecutorSlot,
    given_up_at: Timestamp,
) {
    let _ = harness.dispatcher.next_hold(slot, false, harness.now);
    harness.dispatcher.hold_failed(slot, harness.now);
    let longest = Millis::new(12_000 + MAX_LEASE.get() * 100 / 98);
    let left = given_up_at.after(longest).since(harness.now);
    assert_eq!(starts_within(harness, left.get()), 0);
    assert_eq!(starts_within(harness, 2_000), 1);
}
