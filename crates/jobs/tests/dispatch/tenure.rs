//! What an owner may order that does not know whether another member has claimed the cell since.

use lagoon_core::unit::Millis;
use lagoon_jobs::dispatch::{HoldStep, Order};
use lagoon_jobs::fleet::ExecutorSlot;
use lagoon_jobs::run::{StartOutcome, StartRefusal};

use crate::world::{World, limits, starts, step};

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
