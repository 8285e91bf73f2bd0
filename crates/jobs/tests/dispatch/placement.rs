//! Steps, room, spread, labels and states.

use lagoon_jobs::fleet::ExecutorSlot;
use lagoon_jobs::job::JobState;
use lagoon_jobs::run::{RunOutcome, StartOutcome, StartRefusal};
use lagoon_jobs::spec::StepSpec;

use crate::world::{World, entry, starts, step, stops};

cases! {
    /// Guards against more work on an executor than it can hold.
    work_that_does_not_fit_waits {
        let mut world = World::with(&[("e1", 4)]);
        world.submit(1, "urgent", vec![step(3, 2)]);
        assert_eq!(world.start_all().len(), 2);
        assert!(starts(&world.plan()).is_empty());
    }

    /// Guards against a step that starts before the steps it waits for are done.
    a_step_waits_for_earlier_ones {
        let mut world = World::with(&[("e1", 8)]);
        let second = StepSpec { after: [0].into_iter().collect(), ..step(1, 1) };
        let id = world.submit(1, "urgent", vec![step(1, 1), second]);
        let first = world.start_all();
        assert_eq!(first.len(), 1);
        assert_eq!(world.state(id), JobState::Running);
        world.ended(&first[0], RunOutcome::Done);
        let second = world.start_all();
        assert_eq!(second.len(), 1);
        assert_eq!(second[0].task.step().step(), 1);
    }

    /// Guards against a job shown as done, or an end acknowledged, that a later owner would not know of.
    done_is_shown_and_acknowledged_once_durable {
        let mut world = World::with(&[("e1", 8)]);
        let id = world.submit(1, "urgent", vec![step(1, 1)]);
        let started = world.start_all();
        world.ended(&started[0], RunOutcome::Done);
        assert_eq!(world.state(id), JobState::Running);
        assert_eq!(world.acknowledged(0), None);
        world.record_all();
        assert_eq!(world.state(id), JobState::Done);
        assert_eq!(world.acknowledged(0), Some(1));
    }

    /// Guards against an end that is counted again because an executor lists it until it is acknowledged.
    an_end_listed_twice_counts_once {
        let mut world = World::with(&[("e1", 8)]);
        let id = world.submit(1, "urgent", vec![step(1, 1)]);
        let started = world.start_all();
        let row = crate::world::end(1, started[0].task, started[0].number.get(), RunOutcome::Failed);
        world.list(0, &[], vec![row.clone()]);
        world.list(0, &[], vec![row]);
        world.record_all();
        assert_ne!(world.state(id), JobState::Failed);
    }

    /// Guards against a start beyond the number of failures that the queue allows.
    a_job_fails_after_its_last_attempt {
        let mut world = World::with(&[("e1", 8)]);
        let id = world.submit(1, "urgent", vec![step(1, 1)]);
        for _ in 0..2 {
            let started = world.start_all();
            assert_eq!(started.len(), 1);
            world.ended(&started[0], RunOutcome::Failed);
        }
        assert!(world.start_all().is_empty());
        world.record_all();
        assert_eq!(world.state(id), JobState::Failed);
    }

    /// Guards against two starts of one task when the first was not answered.
    an_unanswered_start_is_not_repeated_before_a_stop_is_confirmed {
        let mut world = World::with(&[("e1", 8), ("e2", 8)]);
        world.submit(1, "urgent", vec![step(1, 1)]);
        let order = starts(&world.plan()).remove(0);
        world.dispatcher.started(&order, StartOutcome::Unknown, world.now);
        world.pass(1);
        world.list(order.slot.get(), &[], vec![]);
        let stop = stops(&world.plan()).remove(0);
        assert!(starts(&world.plan()).is_empty());
        world.dispatcher.stop_confirmed(&stop, world.now);
        world.pass(1);
        world.list(order.slot.get(), &[], vec![]);
        let again = starts(&world.plan());
        assert_eq!(again.len(), 1);
        assert!(again[0].number > order.number);
    }

    /// Guards against a task that is lost when its start was refused.
    a_refused_start_is_tried_elsewhere {
        // One of five: more suspects than a quarter of the fleet would be used again.
        let mut world = World::with(&[("e1", 8), ("e2", 8), ("e3", 8), ("e4", 8), ("e5", 8)]);
        world.submit(1, "urgent", vec![step(1, 1)]);
        let order = starts(&world.plan()).remove(0);
        let refused = StartOutcome::Refused(StartRefusal::NoCapacity);
        world.dispatcher.started(&order, refused, world.now);
        let again = starts(&world.plan()).remove(0);
        assert_ne!(again.slot, order.slot);
    }

    /// Guards against more tasks of a step on one executor than the caller allows.
    spread_is_kept {
        let mut world = World::with(&[("e1", 8), ("e2", 8)]);
        let spread = StepSpec { max_per_executor: Some(1), ..step(3, 1) };
        world.submit(1, "urgent", vec![spread]);
        let started = world.start_all();
        assert_eq!(started.len(), 2);
        assert_ne!(started[0].slot, started[1].slot);
    }

    /// Guards against a task on an executor without the label it requires.
    labels_are_kept {
        let mut world = World::with(&[("e1", 8)]);
        let picky = StepSpec { requires: Some("b".parse().unwrap()), ..step(1, 1) };
        world.submit(1, "urgent", vec![picky]);
        assert!(world.start_all().is_empty());
    }

    /// Guards against new work on an executor that leaves.
    a_draining_executor_gets_nothing {
        let mut world = World::with(&[("e1", 8)]);
        let mut leaving = entry("e1", 8);
        leaving.draining = true;
        world.dispatcher.observe(leaving, world.now);
        world.submit(1, "urgent", vec![step(1, 1)]);
        assert!(world.start_all().is_empty());
    }

    /// Guards against work that goes on after its job was cancelled.
    cancelling_stops_what_runs_and_starts_nothing {
        let mut world = World::with(&[("e1", 1)]);
        let id = world.submit(1, "urgent", vec![step(2, 1)]);
        let started = world.start_all();
        assert_eq!(started.len(), 1);
        world.dispatcher.cancel(id, world.now);
        let orders = world.plan();
        assert_eq!(stops(&orders).len(), 1);
        assert!(starts(&orders).is_empty());
        world.ended(&started[0], RunOutcome::Stopped);
        assert!(starts(&world.plan()).is_empty());
        world.record_all();
        assert_eq!(world.state(id), JobState::Cancelled);
    }

    /// Guards against a run that makes no progress and is left alone.
    a_stalled_run_is_stopped {
        let mut world = World::with(&[("e1", 8)]);
        world.submit(1, "urgent", vec![step(1, 1)]);
        let order = world.start_all().remove(0);
        let mut row = crate::world::listing(world.now, &[(order.task, order.number.get())], vec![]);
        row.running[0].percent = 20;
        world.dispatcher.listed(order.slot, &row, world.now, world.now);
        world.pass(5_000);
        row.executor_ms = world.now.as_millis();
        world.dispatcher.listed(order.slot, &row, world.now, world.now);
        assert_eq!(stops(&world.plan()).len(), 1);
    }

    /// Guards against an executor that fails everything and goes on getting work.
    an_executor_whose_runs_fail_rests {
        let mut world = World::with(&[("e1", 8), ("e2", 8), ("e3", 8), ("e4", 8)]);
        for job in 1..=3 {
            world.submit(job, "urgent", vec![step(1, 8)]);
        }
        let bad = world.start_all().remove(0).slot;
        for job in 10..13 {
            world.dispatcher.submit(
                crate::world::job_id(job),
                crate::world::record("bulk", vec![step(1, 8)]),
                world.now,
            );
        }
        let ends = (1..=3).map(|n| {
            let task = lagoon_jobs::id::StepKey::new(crate::world::job_id(9 + n), 0, 0).task(0);
            crate::world::end(n, task, n, RunOutcome::Failed)
        });
        world.list(bad.get(), &[], ends.collect());
        assert!(starts(&world.plan()).iter().all(|order| order.slot != bad));
    }

    /// Guards against room that is counted free while an unexpected run takes it.
    an_unexpected_run_keeps_its_room {
        let mut world = World::with(&[("e1", 4)]);
        let id = world.submit(1, "urgent", vec![step(1, 4)]);
        world.dispatcher.cancel(id, world.now);
        let stray = lagoon_jobs::id::StepKey::new(id, 0, 0).task(0);
        world.list(0, &[(stray, 7)], vec![]);
        world.submit(2, "urgent", vec![step(1, 1)]);
        let orders = world.plan();
        assert_eq!(stops(&orders).len(), 1);
        assert!(starts(&orders).is_empty());
        world.list(0, &[], vec![crate::world::end(1, stray, 7, RunOutcome::Stopped)]);
        assert_eq!(starts(&world.plan()).len(), 1);
    }

    /// Guards against work that is of no use any more and goes before work that is.
    work_past_its_use_goes_last {
        let mut world = World::with(&[("e1", 1)]);
        world.submit(1, "urgent", vec![step(1, 1)]);
        world.pass(600_000);
        let fresh = lagoon_jobs::job::JobRecord::new(
            "bulk".parse().unwrap(),
            world.now,
            lagoon_jobs::spec::JobSpec::new("p", vec![step(1, 1)], None).unwrap(),
        );
        world.dispatcher.submit(crate::world::job_id(2), fresh, world.now);
        world.list(0, &[], vec![]);
        let started = world.start_all();
        assert_eq!(started[0].task.job(), crate::world::job_id(2));
    }

    /// Guards against a job that can't be in time any more and takes the room of one that still can.
    work_within_reach_goes_before_work_that_misses_its_objective {
        let mut world = World::with(&[("e1", 1)]);
        world.submit(1, "urgent", vec![step(1, 1)]);
        // The objective is 2 s of stretched work and 1 s beyond; at 3.5 s it is missed, at 9 s the job is of no use.
        world.pass(3_500);
        let record = lagoon_jobs::job::JobRecord::new(
            "urgent".parse().unwrap(),
            world.now,
            lagoon_jobs::spec::JobSpec::new("p", vec![step(1, 1)], None).unwrap(),
        );
        world.dispatcher.submit(crate::world::job_id(2), record, world.now);
        world.list(0, &[], vec![]);
        let started = world.start_all();
        assert_eq!(started[0].task.job(), crate::world::job_id(2));
    }

    /// Guards against executors that fail their work and are used all the same, because others have left the fleet: those
    /// that have left were counted as set aside.
    executors_that_left_do_not_bring_suspects_back {
        let fleet = [("e1", 4), ("e2", 4), ("e3", 4), ("e4", 4), ("e5", 4), ("e6", 4)];
        let mut world = World::with(&fleet);
        for gone in ["e1", "e2"] {
            let slot = world.dispatcher.unlist(&gone.parse().unwrap()).unwrap();
            world.dispatcher.hold_failed(slot, world.now);
        }
        world.dispatcher.hold_failed(ExecutorSlot::new(2), world.now);
        world.submit(1, "urgent", vec![step(6, 2)]);
        let started = world.start_all();
        assert_eq!(started.len(), 6);
        assert!(started.iter().all(|order| order.slot.index() > 2));
    }
}
