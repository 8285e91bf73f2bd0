//! When runs on executors that do not answer, or that started again, are gone for certain.

use lagoon_core::unit::Millis;
use lagoon_jobs::dispatch::HoldAction;
use lagoon_jobs::fleet::ExecutorSlot;
use lagoon_jobs::id::{Incarnation, StepKey};

use crate::harness::{Harness, entry, job_id, listing, starts, step};

cases! {
    /// Guards against a second run while the lease of the first may not have run out on a clock that is 2% slow.
    a_silent_executor_keeps_its_runs_until_the_lease_has_lapsed {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        // Past the time for which an earlier owner's leases are assumed, with fresh readings of the clocks.
        harness.advance(2_000);
        harness.list(0, &[], vec![]);
        harness.list(1, &[], vec![]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let order = harness.start_all().remove(0);
        let _ = harness.dispatcher.next_hold(order.slot, false, harness.now);
        harness.dispatcher.hold_failed(order.slot, harness.now);
        harness.advance(5_050);
        harness.dispatcher.tick(harness.now);
        assert!(starts(&harness.plan()).is_empty());
        harness.advance(300);
        harness.dispatcher.tick(harness.now);
        assert_eq!(starts(&harness.plan()).len(), 1);
    }

    /// Guards against holds that are repeated to a dead executor and put off for ever when its runs count as lapsed.
    repeated_holds_do_not_put_off_the_lapse {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let order = harness.start_all().remove(0);
        for _ in 0..8 {
            let _ = harness.dispatcher.next_hold(order.slot, false, harness.now);
            harness.dispatcher.hold_failed(order.slot, harness.now);
            harness.advance(1_000);
            harness.dispatcher.tick(harness.now);
        }
        assert_eq!(starts(&harness.plan()).len(), 1);
    }

    /// Guards against holds without end to an executor at whose address another one answers: runs listed there that should not
    /// exist are gone with it.
    an_executor_whose_address_is_taken_holds_no_strays {
        let mut harness = Harness::with(&[("e1", 4)]);
        let slot = ExecutorSlot::new(0);
        harness.list(0, &[(StepKey::new(job_id(9), 0, 0).task(0), 1)], vec![]);
        harness.dispatcher.replaced(slot, entry("e1", 4).address, harness.now);
        assert!(matches!(harness.dispatcher.next_hold(slot, true, harness.now), HoldAction::Idle));
        assert_eq!(harness.dispatcher.take_departed_executors(8, harness.now).len(), 1);
    }

    /// Guards against an executor that has left and is asked, and kept on record, for ever for a run that should not exist.
    a_run_that_should_not_exist_does_not_outlast_its_lease {
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

    /// Guards against a second run while the first goes on in a new life of its executor: an order sent just before the
    /// restart was known names a time on the old clock, and the new life grants the longest lease for it.
    a_new_life_may_hold_the_longest_lease {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.advance(20_000);
        harness.list(0, &[], vec![]);
        harness.list(1, &[], vec![]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let order = starts(&harness.plan()).remove(0);
        let mut restarted_entry = listing(harness.now, &[(order.task, order.number.get())], vec![]);
        restarted_entry.incarnation = Some(Incarnation::new(2));
        restarted_entry.executor_ms = 5;
        harness.dispatcher.listed(order.slot, &restarted_entry, harness.now, harness.now);
        harness.dispatcher.hold_failed(order.slot, harness.now);
        harness.advance(5_500);
        harness.dispatcher.tick(harness.now);
        assert!(starts(&harness.plan()).is_empty());
        harness.advance(900);
        harness.dispatcher.tick(harness.now);
        assert_eq!(starts(&harness.plan()).len(), 1);
    }

    /// Guards against work that waits for a lease to lapse although its executor is gone and another has its address.
    another_executor_at_the_address_ends_the_runs_of_the_earlier_one {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4), ("e3", 4), ("e4", 4)]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let order = harness.start_all().remove(0);
        harness.dispatcher.replaced(order.slot, order.address, harness.now);
        let again = starts(&harness.plan());
        assert_eq!(again.len(), 1);
        assert_ne!(again[0].slot, order.slot);
        assert!(again[0].number > order.number);
    }

    /// Guards against a second run of what goes on at the address that the executor has by now.
    another_executor_at_an_earlier_address_ends_nothing {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let order = harness.start_all().remove(0);
        harness.dispatcher.replaced(order.slot, "127.0.0.1:9999".parse().unwrap(), harness.now);
        assert!(starts(&harness.plan()).is_empty());
    }

    /// Guards against work that is given up for lost only when a lease lapses although its executor started again.
    a_new_life_loses_the_runs_of_the_old_one {
        let mut harness = Harness::with(&[("e1", 4)]);
        harness.submit(1, "urgent", vec![step(1, 1)]);
        let order = harness.start_all().remove(0);
        harness.advance(1);
        let mut restarted_entry = listing(harness.now, &[], vec![]);
        restarted_entry.incarnation = Some(Incarnation::new(2));
        restarted_entry.executor_ms = 5;
        harness.dispatcher.listed(order.slot, &restarted_entry, harness.now, harness.now);
        let again = starts(&harness.plan());
        assert_eq!(again.len(), 1);
        assert!(again[0].number > order.number);
        assert_eq!(again[0].lease_end_ms / 1_000, 5);
    }

    /// Guards against room that a run without a job takes for ever, because nobody asks for its end.
    an_executor_with_a_run_of_no_job_is_asked_until_it_has_ended {
        let mut harness = Harness::with(&[("e1", 4)]);
        let task = lagoon_jobs::id::StepKey::new(crate::harness::job_id(9), 0, 0).task(0);
        harness.list(0, &[(task, 1)], vec![]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        assert!(starts(&harness.plan()).is_empty());
        let asked = harness.dispatcher.next_hold(ExecutorSlot::new(0), false, harness.now);
        assert!(matches!(asked, HoldAction::Hold(_)), "{asked:?}");
        harness.list(0, &[], vec![]);
        assert_eq!(starts(&harness.plan()).len(), 1);
    }

    /// Guards against leases that are much shorter than meant, because the clock of an idle executor was read long before.
    an_idle_executor_is_asked_for_its_clock_now_and_then {
        let mut harness = Harness::with(&[("e1", 4)]);
        harness.advance(60_000);
        assert!(matches!(harness.dispatcher.next_hold(ExecutorSlot::new(0), false, harness.now), HoldAction::Idle));
        harness.advance(6_000);
        let HoldAction::Hold(req) = harness.dispatcher.next_hold(ExecutorSlot::new(0), false, harness.now) else {
            panic!("the executor is not asked");
        };
        assert_eq!(req.wait, Millis::ZERO);
        harness.list(0, &[], vec![]);
        assert!(matches!(harness.dispatcher.next_hold(ExecutorSlot::new(0), false, harness.now), HoldAction::Idle));
    }

    /// Guards against an outage of the store that makes all leases lapse because ends can't be recorded.
    a_hold_goes_on_while_records_are_overdue {
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
            panic!("the executor is not held");
        };
        assert_eq!(req.acknowledged, 0);
        assert_eq!(req.wait, Millis::ZERO);
        assert!(req.lease_end_ms.is_some());
    }
}
