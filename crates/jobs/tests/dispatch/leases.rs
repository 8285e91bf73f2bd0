//! When runs on executors that do not answer, or that started again, are gone for certain.

use lagoon_core::unit::Millis;
use lagoon_jobs::dispatch::HoldAction;
use lagoon_jobs::fleet::ExecutorSlot;
use lagoon_jobs::id::{Incarnation, StepKey};

use crate::world::{World, entry, job_id, listing, starts, step};

cases! {
    /// Guards against a second run while the lease of the first may not have run out on a clock that is 2% slow.
    a_silent_executor_keeps_its_runs_until_the_lease_has_lapsed {
        let mut world = World::with(&[("e1", 4), ("e2", 4)]);
        // Past the time for which an earlier owner's leases are assumed, with fresh readings of the clocks.
        world.pass(2_000);
        world.list(0, &[], vec![]);
        world.list(1, &[], vec![]);
        world.submit(1, "urgent", vec![step(1, 4)]);
        let order = world.start_all().remove(0);
        let _ = world.dispatcher.next_hold(order.slot, false, world.now);
        world.dispatcher.hold_failed(order.slot, world.now);
        world.pass(5_050);
        world.dispatcher.tick(world.now);
        assert!(starts(&world.plan()).is_empty());
        world.pass(300);
        world.dispatcher.tick(world.now);
        assert_eq!(starts(&world.plan()).len(), 1);
    }

    /// Guards against holds that are repeated to a dead executor and put off for ever when its runs count as lapsed.
    repeated_holds_do_not_put_off_the_lapse {
        let mut world = World::with(&[("e1", 4), ("e2", 4)]);
        world.submit(1, "urgent", vec![step(1, 4)]);
        let order = world.start_all().remove(0);
        for _ in 0..8 {
            let _ = world.dispatcher.next_hold(order.slot, false, world.now);
            world.dispatcher.hold_failed(order.slot, world.now);
            world.pass(1_000);
            world.dispatcher.tick(world.now);
        }
        assert_eq!(starts(&world.plan()).len(), 1);
    }

    /// Guards against holds without end to an executor at whose address another one answers: runs listed there that should not
    /// exist are gone with it.
    an_executor_whose_address_is_taken_holds_no_strays {
        let mut world = World::with(&[("e1", 4)]);
        let slot = ExecutorSlot::new(0);
        world.list(0, &[(StepKey::new(job_id(9), 0, 0).task(0), 1)], vec![]);
        world.dispatcher.replaced(slot, entry("e1", 4).address, world.now);
        assert!(matches!(world.dispatcher.next_hold(slot, true, world.now), HoldAction::Idle));
        assert_eq!(world.dispatcher.take_departed_executors(8, world.now).len(), 1);
    }

    /// Guards against an executor that has left and is asked, and kept on record, for ever for a run that should not exist.
    a_run_that_should_not_exist_does_not_outlast_its_lease {
        let mut world = World::with(&[("e1", 4)]);
        let slot = ExecutorSlot::new(0);
        world.list(0, &[(StepKey::new(job_id(9), 0, 0).task(0), 1)], vec![]);
        world.dispatcher.unlist(&"e1".parse().unwrap());
        for _ in 0..10 {
            let _ = world.dispatcher.next_hold(slot, true, world.now);
            world.dispatcher.hold_failed(slot, world.now);
            world.pass(1_000);
            world.dispatcher.tick(world.now);
        }
        assert!(matches!(world.dispatcher.next_hold(slot, true, world.now), HoldAction::Idle));
        assert_eq!(world.dispatcher.take_departed_executors(8, world.now).len(), 1);
    }

    /// Guards against a second run while the first goes on in a new life of its executor: an order sent just before the
    /// restart was known names a time on the old clock, and the new life grants the longest lease for it.
    a_new_life_may_hold_the_longest_lease {
        let mut world = World::with(&[("e1", 4), ("e2", 4)]);
        world.pass(20_000);
        world.list(0, &[], vec![]);
        world.list(1, &[], vec![]);
        world.submit(1, "urgent", vec![step(1, 4)]);
        let order = starts(&world.plan()).remove(0);
        let mut reborn = listing(world.now, &[(order.task, order.number.get())], vec![]);
        reborn.incarnation = Some(Incarnation::new(2));
        reborn.executor_ms = 5;
        world.dispatcher.listed(order.slot, &reborn, world.now, world.now);
        world.dispatcher.hold_failed(order.slot, world.now);
        world.pass(5_500);
        world.dispatcher.tick(world.now);
        assert!(starts(&world.plan()).is_empty());
        world.pass(900);
        world.dispatcher.tick(world.now);
        assert_eq!(starts(&world.plan()).len(), 1);
    }

    /// Guards against work that waits for a lease to lapse although its executor is gone and another has its address.
    another_executor_at_the_address_ends_the_runs_of_the_earlier_one {
        let mut world = World::with(&[("e1", 4), ("e2", 4), ("e3", 4), ("e4", 4)]);
        world.submit(1, "urgent", vec![step(1, 4)]);
        let order = world.start_all().remove(0);
        world.dispatcher.replaced(order.slot, order.address, world.now);
        let again = starts(&world.plan());
        assert_eq!(again.len(), 1);
        assert_ne!(again[0].slot, order.slot);
        assert!(again[0].number > order.number);
    }

    /// Guards against a second run of what goes on at the address that the executor has by now.
    another_executor_at_an_earlier_address_ends_nothing {
        let mut world = World::with(&[("e1", 4), ("e2", 4)]);
        world.submit(1, "urgent", vec![step(1, 4)]);
        let order = world.start_all().remove(0);
        world.dispatcher.replaced(order.slot, "127.0.0.1:9999".parse().unwrap(), world.now);
        assert!(starts(&world.plan()).is_empty());
    }

    /// Guards against work that is given up for lost only when a lease lapses although its executor started again.
    a_new_life_loses_the_runs_of_the_old_one {
        let mut world = World::with(&[("e1", 4)]);
        world.submit(1, "urgent", vec![step(1, 1)]);
        let order = world.start_all().remove(0);
        world.pass(1);
        let mut reborn = listing(world.now, &[], vec![]);
        reborn.incarnation = Some(Incarnation::new(2));
        reborn.executor_ms = 5;
        world.dispatcher.listed(order.slot, &reborn, world.now, world.now);
        let again = starts(&world.plan());
        assert_eq!(again.len(), 1);
        assert!(again[0].number > order.number);
        assert_eq!(again[0].lease_end_ms / 1_000, 5);
    }

    /// Guards against room that a run without a job takes for ever, because nobody asks for its end.
    an_executor_with_a_run_of_no_job_is_asked_until_it_has_ended {
        let mut world = World::with(&[("e1", 4)]);
        let task = lagoon_jobs::id::StepKey::new(crate::world::job_id(9), 0, 0).task(0);
        world.list(0, &[(task, 1)], vec![]);
        world.submit(1, "urgent", vec![step(1, 4)]);
        assert!(starts(&world.plan()).is_empty());
        let asked = world.dispatcher.next_hold(ExecutorSlot::new(0), false, world.now);
        assert!(matches!(asked, HoldAction::Hold(_)), "{asked:?}");
        world.list(0, &[], vec![]);
        assert_eq!(starts(&world.plan()).len(), 1);
    }

    /// Guards against leases that are much shorter than meant, because the clock of an idle executor was read long before.
    an_idle_executor_is_asked_for_its_clock_now_and_then {
        let mut world = World::with(&[("e1", 4)]);
        world.pass(60_000);
        assert!(matches!(world.dispatcher.next_hold(ExecutorSlot::new(0), false, world.now), HoldAction::Idle));
        world.pass(6_000);
        let HoldAction::Hold(req) = world.dispatcher.next_hold(ExecutorSlot::new(0), false, world.now) else {
            panic!("the executor is not asked");
        };
        assert_eq!(req.wait, Millis::ZERO);
        world.list(0, &[], vec![]);
        assert!(matches!(world.dispatcher.next_hold(ExecutorSlot::new(0), false, world.now), HoldAction::Idle));
    }

    /// Guards against an outage of the store that makes all leases lapse because ends can't be recorded.
    a_hold_goes_on_while_records_are_overdue {
        let mut world = World::with(&[("e1", 8)]);
        world.submit(1, "urgent", vec![step(2, 1)]);
        let started = world.start_all();
        let other = (started[1].task, started[1].number.get());
        let done = crate::world::end(1, started[0].task, 1, lagoon_jobs::run::RunOutcome::Done);
        world.list(0, &[other], vec![done]);
        let slot = ExecutorSlot::new(0);
        let waits = world.dispatcher.next_hold(slot, false, world.now);
        assert!(matches!(waits, HoldAction::AwaitRecord));
        let HoldAction::Hold(req) = world.dispatcher.next_hold(slot, true, world.now) else {
            panic!("the executor is not held");
        };
        assert_eq!(req.acknowledged, 0);
        assert_eq!(req.wait, Millis::ZERO);
        assert!(req.lease_end_ms.is_some());
    }
}
