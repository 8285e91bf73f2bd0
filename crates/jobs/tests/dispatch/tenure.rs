//! What an owner may order that does not know whether another member has claimed the cell since.

use lagoon_core::unit::{Millis, Timestamp};
use lagoon_jobs::dispatch::{HoldStep, Order};
use lagoon_jobs::fleet::ExecutorSlot;
use lagoon_jobs::id::Epoch;
use lagoon_jobs::job::Progress;
use lagoon_jobs::run::{StartOutcome, StartRefusal};

use crate::world::{World, job_id, limits, listing, record, recovering, starts, step};

cases! {
    /// Guards against a start by an owner that was paused, or cut off, for longer than its lease in the store.
    an_owner_whose_lease_may_have_ended_starts_nothing {
        let mut world = World::with(&[("e1", 8)]);
        world.submit(1, "urgent", vec![step(1, 1)]);
        world.now = world.now.after(limits().owner_lease).after(Millis::new(1));
        world.dispatcher.plan(world.now);
        assert!(starts(&world.dispatcher.take_orders()).is_empty());
        world.dispatcher.confirm(world.now);
        world.dispatcher.plan(world.now);
        assert_eq!(starts(&world.dispatcher.take_orders()).len(), 1);
    }

    /// Guards against a confirmation that counts from its answer: the claim of another member may have come in between.
    a_confirmation_counts_from_its_question {
        let mut world = World::with(&[("e1", 8)]);
        world.submit(1, "urgent", vec![step(1, 1)]);
        let asked = world.now;
        world.now = world.now.after(limits().owner_lease).after(Millis::new(1));
        world.dispatcher.confirm(asked);
        world.dispatcher.plan(world.now);
        assert!(starts(&world.dispatcher.take_orders()).is_empty());
    }

    /// Guards against runs that an earlier owner keeps alive for longer than its successor waits.
    an_owner_that_is_not_confirmed_renews_no_lease {
        let mut world = World::with(&[("e1", 8)]);
        world.submit(1, "urgent", vec![step(1, 1)]);
        world.start_all();
        assert!(renewed(&mut world));
        world.now = world.now.after(limits().owner_lapse);
        assert!(renewed(&mut world));
        world.now = world.now.after(Millis::new(1));
        assert!(!renewed(&mut world));
    }

    /// Guards against starts that an owner decides after an executor told it of a later owner.
    a_fenced_owner_starts_nothing {
        let mut world = World::with(&[("e1", 8)]);
        world.submit(1, "urgent", vec![step(1, 1)]);
        let order = starts(&world.plan()).remove(0);
        world.submit(2, "urgent", vec![step(1, 1)]);
        let fenced = StartOutcome::Refused(StartRefusal::Fenced);
        world.dispatcher.started(&order, fenced, world.now);
        let orders = world.plan();
        assert!(orders.iter().any(|order| matches!(order, Order::StepDown)));
        assert!(starts(&orders).is_empty());
        world.pass(10);
        assert!(starts(&world.plan()).is_empty());
    }

    /// Guards against a start of a job by an earlier owner that was told of it after the claim.
    a_job_of_a_later_owner_ends_the_earlier_one {
        let mut world = World::with(&[("e1", 8)]);
        let later = record("urgent", vec![step(1, 1)]).under(Some(Epoch::new(2)));
        world.dispatcher.submit(job_id(1), later, world.now);
        let orders = world.plan();
        assert!(orders.iter().any(|order| matches!(order, Order::StepDown)));
        assert!(starts(&orders).is_empty());
    }

    /// Guards against a second run of a job that was stored under the earlier owner, which may have started it on an executor
    /// that was not heard.
    a_job_stored_under_the_earlier_owner_waits_for_unheard_executors {
        let now = Timestamp::from_millis(1_000);
        let mut dispatcher = recovering(2, &[("e1", 8), ("e2", 8)]);
        dispatcher.load(job_id(1), record("urgent", vec![step(1, 1)]), &Progress::default(), now);
        dispatcher.listed(ExecutorSlot::new(0), &listing(now, &[], vec![]), now, now);
        let mut world = World::serve(dispatcher);
        let earlier = record("urgent", vec![step(1, 1)]).under(Some(Epoch::new(1)));
        world.dispatcher.submit(job_id(2), earlier, world.now);
        assert!(starts(&world.plan()).is_empty());
        world.submit(3, "urgent", vec![step(1, 1)]);
        assert_eq!(starts(&world.plan()).len(), 1);
        world.pass(9_000);
        assert_eq!(starts(&world.plan()).len(), 2);
    }
}

fn renewed(world: &mut World) -> bool {
    match world
        .dispatcher
        .next_hold(ExecutorSlot::new(0), false, world.now)
    {
        HoldStep::Hold(req) => req.lease_end_ms.is_some(),
        step => panic!("the executor is not held: {step:?}"),
    }
}
