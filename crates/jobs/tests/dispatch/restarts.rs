//! What an owner believes of an executor that has started again under its id.

use lagoon_core::unit::Timestamp;
use lagoon_jobs::fleet::ExecutorEntry;
use lagoon_jobs::id::{Life, TaskKey};
use lagoon_jobs::run::{EndedRow, Listing};

use crate::world::{World, entry, listing, starts, step};

cases! {
    /// Guards against a second run beside one that the new life has confirmed before the list of executors names that life.
    a_run_confirmed_by_the_new_life_outlasts_its_entry {
        let mut world = World::with(&[("e1", 4), ("e2", 4)]);
        world.submit(1, "urgent", vec![step(1, 4)]);
        let order = world.start_all().remove(0);
        world.dispatcher.observe(reborn(order.executor.as_str()), world.now);
        assert!(starts(&world.plan()).is_empty());
        let asked = world.now;
        world.pass(20);
        let list = of_new_life(world.now, &[(order.task, order.number.get())], vec![]);
        world.dispatcher.listed(order.slot, &list, asked, world.now);
        assert!(starts(&world.plan()).is_empty());
    }

    /// Guards against a second run beside one that the new life has confirmed while a list made before that was on its way.
    a_run_confirmed_by_the_new_life_outlasts_an_earlier_list {
        let mut world = World::with(&[("e1", 4), ("e2", 4)]);
        world.submit(1, "urgent", vec![step(1, 4)]);
        let asked = world.now;
        let order = world.start_all().remove(0);
        world.pass(20);
        let list = of_new_life(world.now, &[], vec![]);
        world.dispatcher.listed(order.slot, &list, asked, world.now);
        assert!(starts(&world.plan()).is_empty());
    }

    /// Guards against a run of the new life that is waited for although a later list of that life lacks it.
    a_run_that_the_new_life_does_not_list_starts_again {
        let mut world = World::with(&[("e1", 4), ("e2", 4)]);
        world.submit(1, "urgent", vec![step(1, 4)]);
        let order = world.start_all().remove(0);
        world.dispatcher.observe(reborn(order.executor.as_str()), world.now);
        world.pass(1);
        let asked = world.now;
        world.pass(20);
        let list = of_new_life(world.now, &[], vec![]);
        world.dispatcher.listed(order.slot, &list, asked, world.now);
        let again = starts(&world.plan());
        assert_eq!(again.len(), 1);
        assert!(again[0].number > order.number);
    }

    /// Guards against work that waits for a list although the earlier life had listed its run, which therefore ended with it.
    a_run_listed_by_the_earlier_life_starts_again_at_once {
        let mut world = World::with(&[("e1", 4), ("e2", 4)]);
        world.submit(1, "urgent", vec![step(1, 4)]);
        let order = world.start_all().remove(0);
        world.list(order.slot.get(), &[(order.task, order.number.get())], vec![]);
        world.dispatcher.observe(reborn(order.executor.as_str()), world.now);
        assert_eq!(starts(&world.plan()).len(), 1);
    }
}

fn reborn(id: &str) -> ExecutorEntry {
    ExecutorEntry {
        life: Some(Life::new(2)),
        ..entry(id, 4)
    }
}

fn of_new_life(now: Timestamp, running: &[(TaskKey, u64)], ended: Vec<EndedRow>) -> Listing {
    Listing {
        life: Some(Life::new(2)),
        executor_ms: 5,
        ..listing(now, running, ended)
    }
}
