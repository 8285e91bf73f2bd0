//! Ends that an owner learns of late, because the executor lists them in parts or others come before them.

use lagoon_core::unit::{Millis, Timestamp};
use lagoon_jobs::dispatch::{HoldAction, StoredJob};
use lagoon_jobs::fleet::ExecutorSlot;
use lagoon_jobs::id::{StepKey, TaskKey};
use lagoon_jobs::job::{JobState, Progress};
use lagoon_jobs::record::RecordLane;
use lagoon_jobs::run::{EndedRun, Listing, RunOutcome, StartOutcome};

use crate::world::{World, end, job_id, limits, listing, record, recovering, starts, step, stops};

/// Job that the owner does not know yet.
const UNKNOWN: u64 = 9;

cases! {
    /// Guards against a second run of a task whose end waits behind that of a job that is not known yet.
    an_end_behind_one_of_an_unknown_job_counts {
        let mut world = World::with(&[("e1", 8)]);
        let id = world.submit(1, "urgent", vec![step(1, 1)]);
        let order = world.start_all().remove(0);
        let ends = vec![done(1, UNKNOWN, 1), done(2, 1, order.number.get())];
        world.list(0, &[], ends.clone());
        assert!(starts(&world.plan()).is_empty());
        world.record_all();
        assert_eq!(world.state(id), JobState::Done);
        assert_eq!(world.acknowledged(0).unwrap_or(0), 0);
        world.submit(UNKNOWN, "urgent", vec![step(1, 1)]);
        world.list(0, &[], ends);
        assert!(starts(&world.plan()).is_empty());
        world.record_all();
        assert_eq!(world.acknowledged(0), Some(2));
    }

    /// Guards against a second run of inherited work whose end waits behind that of a job that is not known yet.
    an_inherited_end_behind_one_of_an_unknown_job_counts {
        let now = Timestamp::from_millis(1_000);
        let mut dispatcher = recovering(2, &[("e1", 8)]);
        dispatcher.load(job_id(1), record("urgent", vec![step(1, 1)]), &Progress::default(), now);
        let ends = vec![done(1, UNKNOWN, 1), done(2, 1, 1)];
        dispatcher.listed(ExecutorSlot::new(0), &listing(now, &[], ends), now, now);
        let mut world = World::serve(dispatcher);
        assert!(starts(&world.plan()).is_empty());
        world.record_all();
        assert_eq!(world.state(job_id(1)), JobState::Done);
    }

    /// Guards against an end of an unknown job that is acknowledged while the store can't tell of the job, after which the job
    /// runs again.
    an_end_of_an_unknown_job_waits_as_long_as_the_job_is_unknown {
        let mut world = World::with(&[("e1", 8)]);
        let ends = vec![done(1, UNKNOWN, 1)];
        world.list(0, &[], ends.clone());
        world.pass(20_000);
        world.list(0, &[], ends.clone());
        assert_eq!(world.acknowledged(0).unwrap_or(0), 0);
        let id = world.submit(UNKNOWN, "urgent", vec![step(1, 1)]);
        world.list(0, &[], ends);
        assert!(starts(&world.plan()).is_empty());
        world.record_all();
        assert_eq!(world.state(id), JobState::Done);
    }

    /// Guards against holds that are repeated as fast as the link allows: the executor answers at once while it lists an end
    /// that can't be acknowledged.
    a_hold_that_acknowledges_nothing_is_not_repeated_at_once {
        let mut world = World::with(&[("e1", 8)]);
        world.submit(1, "urgent", vec![step(2, 1)]);
        let started = world.start_all();
        let running: Vec<_> = started.iter().map(|order| (order.task, order.number.get())).collect();
        world.list(0, &running, vec![done(1, UNKNOWN, 1)]);
        let slot = ExecutorSlot::new(0);
        assert!(matches!(world.dispatcher.next_hold(slot, false, world.now), HoldAction::AwaitRecord));
        assert!(matches!(world.dispatcher.next_hold(slot, true, world.now), HoldAction::Hold(_)));
    }

    /// Guards against holds that are repeated as fast as the link allows: the one that acknowledged an end was lost, and beside a
    /// start that was not answered the next ones acknowledge nothing.
    a_hold_after_a_lost_acknowledgement_is_not_repeated_at_once {
        let mut world = World::with(&[("e1", 8)]);
        let slot = ExecutorSlot::new(0);
        let ended = lose_acknowledgement(&mut world);
        world.submit(2, "urgent", vec![step(1, 1)]);
        assert_eq!(starts(&world.plan()).len(), 1);
        world.list(0, &[], vec![ended]);
        let next = world.dispatcher.next_hold(slot, false, world.now);
        assert!(matches!(next, HoldAction::AwaitRecord), "{next:?}");
    }

    /// Guards against an end that an idle executor lists for ever: the hold that acknowledged it was lost.
    a_lost_acknowledgement_is_sent_again {
        let mut world = World::with(&[("e1", 8)]);
        let ended = lose_acknowledgement(&mut world);
        assert_eq!(world.acknowledged(0), Some(0));
        world.list(0, &[], vec![ended]);
        assert_eq!(world.acknowledged(0), Some(1));
    }

    /// Guards against ends that are never acknowledged: the job of one was forgotten while an end before it waited.
    an_end_of_a_forgotten_job_is_acknowledged {
        let mut world = World::with(&[("e1", 8)]);
        world.submit(1, "urgent", vec![step(1, 1)]);
        let order = world.start_all().remove(0);
        world.list(0, &[], vec![done(1, UNKNOWN, 1), done(2, 1, order.number.get())]);
        world.record_all();
        world.pass(limits().retention.get() + 1_000);
        let lanes = RecordLane::all();
        let expired: Vec<_> = lanes.flat_map(|lane| world.dispatcher.expired(lane, 8, world.now)).collect();
        assert_eq!(expired, [job_id(1)]);
        world.dispatcher.forget(&expired);
        world.dispatcher.job_looked_up(job_id(UNKNOWN), StoredJob::Absent, world.now);
        assert_eq!(world.acknowledged(0), Some(2));
    }

    /// Guards against an executor whose ends are never acknowledged, because the end of a run whose start was not answered is on
    /// the next page.
    a_run_that_ended_on_the_next_page_holds_back_no_acknowledgement {
        let mut world = World::with(&[("e1", 8)]);
        world.submit(1, "urgent", vec![step(2, 1)]);
        let orders = starts(&world.plan());
        for (order, outcome) in orders.iter().zip([StartOutcome::Started { executor_ms: None }, StartOutcome::Unknown]) {
            world.dispatcher.started(order, outcome, world.now);
        }
        world.submit(2, "urgent", vec![step(1, 9)]);
        world.pass(1);
        let ended = end(1, task(2), 1, RunOutcome::Failed);
        let page = |now| Listing { complete: false, ..listing(now, &[], vec![ended.clone()]) };
        world.dispatcher.listed(ExecutorSlot::new(0), &page(world.now), world.now, world.now);
        let stop = stops(&world.plan()).remove(0);
        world.dispatcher.stop_confirmed(&stop, world.now);
        world.pass(1);
        world.dispatcher.listed(ExecutorSlot::new(0), &page(world.now), world.now, world.now);
        world.record_all();
        assert_eq!(world.acknowledged(0), Some(1));
    }

    /// Guards against inherited work that waits for ever for an executor that listed a part of its ends and went silent.
    inherited_work_does_not_outwait_a_lease {
        let now = Timestamp::from_millis(1_000);
        let mut dispatcher = recovering(2, &[("e1", 8), ("e2", 8)]);
        dispatcher.load(job_id(1), record("urgent", vec![step(1, 1)]), &Progress::default(), now);
        let first_page = Listing {
            complete: false,
            ..listing(now, &[], vec![done(1, 2, 1)])
        };
        dispatcher.listed(ExecutorSlot::new(0), &first_page, now, now);
        dispatcher.listed(ExecutorSlot::new(1), &listing(now, &[], vec![]), now, now);
        let mut world = World::serve(dispatcher);
        world.dispatcher.hold_failed(ExecutorSlot::new(0), world.now);
        assert!(starts(&world.plan()).is_empty());
        world.pass(9_000);
        assert_eq!(starts(&world.plan()).len(), 1);
    }

    /// Guards against a second run of inherited work whose end is on a later page of the executor's first list.
    inherited_work_waits_for_the_last_page_of_ends {
        let now = Timestamp::from_millis(1_000);
        let mut dispatcher = recovering(2, &[("e1", 8)]);
        for number in [1, 2] {
            dispatcher.load(job_id(number), record("urgent", vec![step(1, 1)]), &Progress::default(), now);
        }
        let first_page = Listing {
            complete: false,
            ..listing(now, &[], vec![done(1, 1, 1)])
        };
        dispatcher.listed(ExecutorSlot::new(0), &first_page, now, now);
        let mut world = World::serve(dispatcher);
        assert!(starts(&world.plan()).is_empty());
        world.record_all();
        for _ in 0..5 {
            world.pass(3_000);
            let _ = world.dispatcher.next_hold(ExecutorSlot::new(0), true, world.now);
            assert!(starts(&world.plan()).is_empty());
        }
        let asked = world.dispatcher.next_hold(ExecutorSlot::new(0), true, world.now);
        let HoldAction::Hold(req) = asked else {
            panic!("the next page is not asked for: {asked:?}");
        };
        assert_eq!((req.acknowledged, req.wait), (1, Millis::ZERO));
        world.list(0, &[], vec![done(2, 2, 1)]);
        assert!(starts(&world.plan()).is_empty());
        world.record_all();
        assert_eq!(world.state(job_id(2)), JobState::Done);
    }
}

/// Has a task end, and loses the hold that acknowledges the end; returns the end.
fn lose_acknowledgement(world: &mut World) -> EndedRun {
    world.submit(1, "urgent", vec![step(1, 1)]);
    let order = world.start_all().remove(0);
    world.ended(&order, RunOutcome::Done);
    world.record_all();
    assert_eq!(world.acknowledged(0), Some(1));
    world.dispatcher.hold_failed(order.slot, world.now);
    done(1, 1, order.number.get())
}

fn done(sequence: u64, job: u64, number: u64) -> EndedRun {
    end(sequence, task(job), number, RunOutcome::Done)
}

fn task(job: u64) -> TaskKey {
    StepKey::new(job_id(job), 0, 0).task(0)
}
