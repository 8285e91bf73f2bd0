//! Tests of when runs on unresponsive or restarted executors count as lost.

use lagoon_core::unit::Millis;
use lagoon_jobs::dispatch::HoldAction;
use lagoon_jobs::fleet::ExecutorSlot;
use lagoon_jobs::id::{Incarnation, StepKey};
use lagoon_jobs::run::{RunOutcome, StartOutcome};

use crate::harness::{Harness, MAX_LEASE, entry, job_id, listing, starts, starts_within, step};

/// Returns the longest time for which a run of a later incarnation lasts after its start was given up.
pub(crate) fn longest_wait() -> u64 {
    12_000 + MAX_LEASE.get() * 100 / 98
}

cases! {
    /// Guards against a second run while the lease of the first may not have expired on a clock that is 2% slow.
    an_unresponsive_executor_keeps_its_runs_until_the_lease_expires {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        // After the leases that an earlier owner may have granted, with new readings of the clocks.
        harness.advance(2_000);
        harness.list(0, &[], vec![]);
        harness.list(1, &[], vec![]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = harness.start_all().remove(0);
        let _ = harness.dispatcher.next_hold(request.slot, false, harness.now);
        harness.dispatcher.hold_failed(request.slot, harness.now);
        harness.advance(5_050);
        harness.dispatcher.tick(harness.now);
        assert!(starts(&harness.plan()).is_empty());
        harness.advance(300);
        harness.dispatcher.tick(harness.now);
        assert_eq!(starts(&harness.plan()).len(), 1);
    }

    /// Guards against a second run beside one that an executor, which restarted unnoticed, starts late and without an
    /// answer, with the longest lease because the lease end is on its earlier clock.
    an_unanswered_start_may_run_in_a_later_incarnation {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = starts(&harness.plan()).remove(0);
        harness.dispatcher.started(&request, StartOutcome::Unknown { connection_age: None }, harness.now);
        harness.dispatcher.hold_failed(request.slot, harness.now);
        assert_eq!(starts_within(&mut harness, longest_wait()), 0);
        assert_eq!(starts_within(&mut harness, 1_000), 1);
    }

    /// Guards against a second run in the same way after a start that was answered, by an executor whose answer does not
    /// tell its incarnation.
    a_start_answered_by_an_unknown_incarnation_may_have_the_longest_lease {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.advance(20_000);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = starts(&harness.plan()).remove(0);
        let outcome = StartOutcome::Started { executor_ms: Some(15_000) };
        harness.dispatcher.started(&request, outcome, harness.now);
        assert_eq!(starts_within(&mut harness, MAX_LEASE.get() * 100 / 98), 0);
        assert_eq!(starts_within(&mut harness, 1_000), 1);
    }

    /// Guards against a second run beside one in a new incarnation, whose lease an unanswered hold may extend late.
    an_unanswered_hold_may_extend_the_lease_of_a_later_incarnation {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = harness.start_all().remove(0);
        let _ = harness.dispatcher.next_hold(request.slot, true, harness.now);
        harness.dispatcher.hold_failed(request.slot, harness.now);
        let failed_at = harness.now;
        let mut restarted = listing(harness.now, &[], vec![]);
        restarted.incarnation = Some(Incarnation::new(2));
        harness.dispatcher.listed(request.slot, &restarted, harness.now, harness.now);
        harness.register(request.executor.as_str(), 4, 2);
        let again = harness.start_all().remove(0);
        assert_eq!(again.slot, request.slot);
        let longest = longest_wait() - harness.now.since(failed_at).get();
        assert_eq!(starts_within(&mut harness, longest), 0);
        assert_eq!(starts_within(&mut harness, 1_000), 1);
    }

    /// Guards against starts on an executor that does not answer, which would hold up their tasks for long.
    an_unresponsive_executor_gets_no_starts_however_many_there_are {
        let mut harness = Harness::with(&[("e1", 4)]);
        harness.dispatcher.hold_failed(ExecutorSlot::new(0), harness.now);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        assert!(starts(&harness.plan()).is_empty());
        harness.list(0, &[], vec![]);
        assert_eq!(starts(&harness.plan()).len(), 1);
    }

    /// Guards against repeated holds to a dead executor that extend its lease forever.
    repeated_holds_do_not_extend_the_lease {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = harness.start_all().remove(0);
        for _ in 0..8 {
            let _ = harness.dispatcher.next_hold(request.slot, false, harness.now);
            harness.dispatcher.hold_failed(request.slot, harness.now);
            harness.advance(1_000);
            harness.dispatcher.tick(harness.now);
        }
        assert_eq!(starts(&harness.plan()).len(), 1);
    }

    /// Guards against endless holds to an executor whose address now belongs to another one: its unexpected runs are
    /// gone with it.
    an_executor_whose_address_is_taken_has_no_unexpected_runs {
        let mut harness = Harness::with(&[("e1", 4)]);
        let slot = ExecutorSlot::new(0);
        harness.list(0, &[(StepKey::new(job_id(9), 0, 0).task(0), 1)], vec![]);
        harness.dispatcher.replaced(slot, entry("e1", 4).address, harness.now);
        assert!(matches!(harness.dispatcher.next_hold(slot, true, harness.now), HoldAction::Idle));
        assert_eq!(harness.dispatcher.take_departed_executors(8, harness.now).len(), 1);
    }

    /// Guards against holds to a gone executor, four a second, that carry an acknowledgement which it never received.
    an_executor_whose_address_is_taken_gets_no_acknowledgement {
        let mut harness = Harness::with(&[("e1", 4)]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = harness.start_all().remove(0);
        harness.ended(&request, RunOutcome::Done);
        harness.record_all();
        let _ = harness.dispatcher.next_hold(request.slot, false, harness.now);
        harness.dispatcher.replaced(request.slot, request.address, harness.now);
        let next = harness.dispatcher.next_hold(request.slot, true, harness.now);
        assert!(matches!(next, HoldAction::Idle), "{next:?}");
    }

    /// Guards against an executor that has left and is asked, and kept on record, forever because of an unexpected run.
    an_unexpected_run_does_not_outlast_its_lease {
        let mut harness = Harness::with(&[("e1", 4)]);
        let slot = ExecutorSlot::new(0);
        harness.list(0, &[(StepKey::new(job_id(9), 0, 0).task(0), 1)], vec![]);
        harness.dispatcher.unlist(&"e1".parse().unwrap());
        for _ in 0..10 {
            let _ = harness.dispatcher.next_hold(slot, true, harness.now);
            harness.dispatcher.hold_failed(slot, harness.now);
            harness.advance(1_000);
            harness.dispatcher.tick(harness.now);
        }
        assert!(matches!(harness.dispatcher.next_hold(slot, true, harness.now), HoldAction::Idle));
        assert_eq!(harness.dispatcher.take_departed_executors(8, harness.now).len(), 1);
    }

    /// Guards against a second run while the first continues in a new incarnation of its executor: a start sent just
    /// before the restart was known has a lease end on the old clock, for which the new incarnation grants the longest
    /// lease.
    a_new_incarnation_may_have_the_longest_lease {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.advance(20_000);
        harness.list(0, &[], vec![]);
        harness.list(1, &[], vec![]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = starts(&harness.plan()).remove(0);
        let mut restarted = listing(harness.now, &[(request.task, request.number.get())], vec![]);
        restarted.incarnation = Some(Incarnation::new(2));
        restarted.executor_ms = 5;
        harness.dispatcher.listed(request.slot, &restarted, harness.now, harness.now);
        harness.dispatcher.hold_failed(request.slot, harness.now);
        harness.advance(5_500);
        harness.dispatcher.tick(harness.now);
        assert!(starts(&harness.plan()).is_empty());
        harness.advance(900);
        harness.dispatcher.tick(harness.now);
        assert_eq!(starts(&harness.plan()).len(), 1);
    }

    /// Guards against work that waits for a lease to expire although another executor has the address of its executor.
    another_executor_at_the_address_loses_the_runs_of_the_earlier_one {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4), ("e3", 4), ("e4", 4)]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = harness.start_all().remove(0);
        harness.dispatcher.replaced(request.slot, request.address, harness.now);
        let again = starts(&harness.plan());
        assert_eq!(again.len(), 1);
        assert_ne!(again[0].slot, request.slot);
        assert!(again[0].number > request.number);
    }

    /// Guards against a second run of work that continues on an executor which has moved to another address.
    another_executor_at_a_former_address_loses_no_runs {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = harness.start_all().remove(0);
        harness.dispatcher.replaced(request.slot, "127.0.0.1:9999".parse().unwrap(), harness.now);
        assert!(starts(&harness.plan()).is_empty());
    }

    /// Guards against work that is lost only when its lease expires although its executor has restarted.
    a_new_incarnation_loses_the_runs_of_the_earlier_one {
        let mut harness = Harness::with(&[("e1", 4)]);
        harness.submit(1, "urgent", vec![step(1, 1)]);
        let request = harness.start_all().remove(0);
        harness.advance(1);
        let mut restarted = listing(harness.now, &[], vec![]);
        restarted.incarnation = Some(Incarnation::new(2));
        restarted.executor_ms = 5;
        harness.dispatcher.listed(request.slot, &restarted, harness.now, harness.now);
        harness.register("e1", 4, 2);
        let again = starts(&harness.plan());
        assert_eq!(again.len(), 1);
        assert!(again[0].number > request.number);
        assert_eq!(again[0].lease_end_ms / 1_000, 5);
    }

    /// Guards against resources that the run of an unknown job occupies forever because its end is never requested.
    an_executor_with_a_run_of_an_unknown_job_gets_holds_until_it_ends {
        let mut harness = Harness::with(&[("e1", 4)]);
        let task = lagoon_jobs::id::StepKey::new(crate::harness::job_id(9), 0, 0).task(0);
        harness.list(0, &[(task, 1)], vec![]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        assert!(starts(&harness.plan()).is_empty());
        let action = harness.dispatcher.next_hold(ExecutorSlot::new(0), false, harness.now);
        assert!(matches!(action, HoldAction::Hold(_)), "{action:?}");
        harness.list(0, &[], vec![]);
        assert_eq!(starts(&harness.plan()).len(), 1);
    }

    /// Guards against leases that are much too short because the reading of an idle executor's clock is old.
    the_clock_of_an_idle_executor_is_read_periodically {
        let mut harness = Harness::with(&[("e1", 4)]);
        harness.advance(60_000);
        assert!(matches!(harness.dispatcher.next_hold(ExecutorSlot::new(0), false, harness.now), HoldAction::Idle));
        harness.advance(6_000);
        let HoldAction::Hold(req) = harness.dispatcher.next_hold(ExecutorSlot::new(0), false, harness.now) else {
            panic!("no hold is sent to the executor");
        };
        assert_eq!(req.wait, Millis::ZERO);
        harness.list(0, &[], vec![]);
        assert!(matches!(harness.dispatcher.next_hold(ExecutorSlot::new(0), false, harness.now), HoldAction::Idle));
    }

    /// Guards against an outage of the store that lets all leases expire because ends can't be recorded.
    holds_continue_while_records_are_overdue {
        let mut harness = Harness::with(&[("e1", 8)]);
        harness.submit(1, "urgent", vec![step(2, 1)]);
        let started = harness.start_all();
        let other = (started[1].task, started[1].number.get());
        let done = crate::harness::end(1, started[0].task, 1, lagoon_jobs::run::RunOutcome::Done);
        harness.list(0, &[other], vec![done]);
        let slot = ExecutorSlot::new(0);
        let waits = harness.dispatcher.next_hold(slot, false, harness.now);
        assert!(matches!(waits, HoldAction::AwaitRecord));
        let HoldAction::Hold(req) = harness.dispatcher.next_hold(slot, true, harness.now) else {
            panic!("no hold is sent although records are overdue");
        };
        assert_eq!(req.acknowledged, 0);
        assert_eq!(req.wait, Millis::ZERO);
        assert!(req.lease_end_ms.is_some());
    }
}
