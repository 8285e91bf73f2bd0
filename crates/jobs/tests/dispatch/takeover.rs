//! Tests of a new owner with the runs, ends and records of earlier owners.

use lagoon_core::unit::Millis;
use lagoon_jobs::dispatch::HoldAction;
use lagoon_jobs::fleet::{ExecutorRecord, ExecutorSlot};
use lagoon_jobs::id::StepKey;
use lagoon_jobs::job::{JobRecord, JobState, Progress};
use lagoon_jobs::run::{Listing, RunOutcome};
use lagoon_jobs::spec::{JobSpec, Schedule};

use crate::harness::{Harness, end, job_id, listing, record, recovering, starts, step, stops};

cases! {
    /// Guards against a second run beside one that an earlier owner started: the new owner has not granted a lease yet,
    /// and must not take that lease for expired.
    an_adopted_run_is_not_started_again {
        let mut dispatcher = recovering(2, &[("e1", 8), ("e2", 8)]);
        let now = lagoon_core::unit::Timestamp::from_millis(1_000);
        dispatcher.load(job_id(1), record("urgent", vec![step(1, 1)]), &Progress::default(), now);
        let task = StepKey::new(job_id(1), 0, 0).task(0);
        for slot in 0..2 {
            let running = if slot == 0 { vec![(task, 1)] } else { vec![] };
            dispatcher.listed(ExecutorSlot::new(slot), &listing(now, &running, vec![]), now, now);
        }
        let mut harness = Harness::serve(dispatcher);
        harness.dispatcher.tick(harness.now);
        assert!(starts(&harness.plan()).is_empty());
        assert_eq!(harness.state(job_id(1)), JobState::Running);
    }

    /// Guards against an end that is acknowledged but not counted, so that its task runs again: a node with a fast
    /// clock accepted the job, and the new owner treated it as not begun.
    a_job_accepted_by_a_fast_clock_has_begun {
        let mut dispatcher = recovering(2, &[("e1", 8)]);
        let now = lagoon_core::unit::Timestamp::from_millis(1_000);
        let ahead = lagoon_core::unit::Timestamp::from_millis(5_000);
        let spec = JobSpec::new("p", vec![step(1, 1)], None).unwrap();
        let job = JobRecord::new("urgent".parse().unwrap(), ahead, spec);
        dispatcher.load(job_id(1), job, &Progress::default(), now);
        let task = StepKey::new(job_id(1), 0, 0).task(0);
        let ended = vec![end(1, task, 1, RunOutcome::Done)];
        dispatcher.listed(ExecutorSlot::new(0), &listing(now, &[], ended), now, now);
        let mut harness = Harness::serve(dispatcher);
        harness.advance(6_000);
        harness.list(0, &[], vec![]);
        assert!(starts(&harness.plan()).is_empty());
        harness.record_all();
        assert_eq!(harness.state(job_id(1)), JobState::Done);
    }

    /// Guards against ignoring the runs and ends of an occurrence that an earlier owner with a fast clock has begun.
    an_occurrence_that_has_run_has_begun {
        let mut dispatcher = recovering(2, &[("e1", 8)]);
        let now = lagoon_core::unit::Timestamp::from_millis(1_000);
        let first = lagoon_core::unit::Timestamp::from_millis(4_000);
        let schedule = Schedule { first, interval: Millis::new(1_000), occurrences: 2 };
        let spec = JobSpec::new("p", vec![step(1, 1)], Some(schedule)).unwrap();
        let job = JobRecord::new("urgent".parse().unwrap(), now, spec);
        dispatcher.load(job_id(1), job, &Progress::default(), now);
        let task = |occurrence| StepKey::new(job_id(1), occurrence, 0).task(0);
        let ended = vec![end(1, task(0), 1, RunOutcome::Done)];
        dispatcher.listed(ExecutorSlot::new(0), &listing(now, &[(task(1), 1)], ended), now, now);
        let mut harness = Harness::serve(dispatcher);
        assert!(stops(&harness.plan()).is_empty());
        harness.advance(9_000);
        harness.list(0, &[(task(1), 1)], vec![]);
        assert!(starts(&harness.plan()).is_empty());
    }

    /// Guards against starting inherited work that may still run on an unreported executor.
    inherited_work_waits_for_unreported_executors {
        let mut dispatcher = recovering(2, &[("e1", 8), ("e2", 8)]);
        let now = lagoon_core::unit::Timestamp::from_millis(1_000);
        dispatcher.load(job_id(1), record("urgent", vec![step(1, 1)]), &Progress::default(), now);
        dispatcher.listed(ExecutorSlot::new(0), &listing(now, &[], vec![]), now, now);
        let mut harness = Harness::serve(dispatcher);
        harness.submit(2, "urgent", vec![step(1, 1)]);
        let started = harness.start_all();
        assert_eq!(started.len(), 1);
        assert_eq!(started[0].task.job(), job_id(2));
        harness.advance(9_250);
        assert_eq!(starts(&harness.plan()).len(), 1);
    }

    /// Guards against a second run of a task that continues on an executor without a registry entry, which only the
    /// previous owner knew.
    inherited_work_waits_for_executors_without_a_registry_entry {
        let now = lagoon_core::unit::Timestamp::from_millis(1_000);
        let mut dispatcher = recovering(2, &[("e1", 8)]);
        let gone = ExecutorRecord::from(&crate::harness::entry("e2", 8));
        dispatcher.load_executor(gone, now);
        dispatcher.load(job_id(1), record("urgent", vec![step(1, 1)]), &Progress::default(), now);
        let action = dispatcher.next_hold(ExecutorSlot::new(1), false, now);
        assert!(matches!(action, HoldAction::Hold(_)), "{action:?}");
        dispatcher.listed(ExecutorSlot::new(0), &listing(now, &[], vec![]), now, now);
        let mut harness = Harness::serve(dispatcher);
        assert!(starts(&harness.plan()).is_empty());
        let task = StepKey::new(job_id(1), 0, 0).task(0);
        harness.list(1, &[(task, 1)], vec![]);
        harness.advance(9_000);
        harness.list(0, &[], vec![]);
        harness.list(1, &[(task, 1)], vec![]);
        assert!(starts(&harness.plan()).is_empty());
        assert_eq!(harness.state(job_id(1)), JobState::Running);
    }

    /// Guards against a start on an executor without a stored record, which a later owner would not ask if the registry
    /// entry expired.
    nothing_starts_on_an_executor_that_is_not_recorded {
        let mut harness = Harness::with(&[("e1", 1)]);
        harness.dispatcher.observe(crate::harness::entry("e2", 8), harness.now);
        harness.list(1, &[], vec![]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        assert!(starts(&harness.plan()).is_empty());
        harness.record_executors();
        assert_eq!(starts(&harness.plan()).len(), 1);
    }

    /// Guards against inherited work that waits for an executor that has left, because its record was not removed after
    /// its last run.
    an_executor_that_has_left_is_forgotten_after_its_last_run {
        let mut harness = Harness::with(&[("e1", 8), ("e2", 8)]);
        harness.submit(1, "urgent", vec![step(4, 3)]);
        let started = harness.start_all();
        let on_second: Vec<_> = started.iter().filter(|request| request.slot.get() == 1).cloned().collect();
        assert_eq!(on_second.len(), 2);
        harness.dispatcher.unlist(&"e2".parse().unwrap());
        assert!(harness.dispatcher.take_departed_executors(8, harness.now).is_empty());
        harness.ended(&on_second[0], RunOutcome::Done);
        harness.ended(&on_second[1], RunOutcome::Done);
        harness.record_all();
        let gone = harness.dispatcher.take_departed_executors(8, harness.now);
        assert_eq!(gone, ["e2".parse().unwrap()]);
        assert!(harness.dispatcher.take_departed_executors(8, harness.now).is_empty());
    }

    /// Guards against a second run of a task whose end was listed but not recorded: without a record of the executor,
    /// which has no registry entry, the next owner would not ask it.
    an_executor_is_not_forgotten_before_its_ends_are_recorded {
        let mut harness = Harness::with(&[("e1", 8)]);
        harness.submit(1, "urgent", vec![step(1, 1)]);
        let request = harness.start_all().remove(0);
        harness.dispatcher.unlist(&"e1".parse().unwrap());
        harness.ended(&request, RunOutcome::Done);
        assert!(harness.dispatcher.take_departed_executors(8, harness.now).is_empty());
        harness.record_all();
        assert_eq!(harness.dispatcher.take_departed_executors(8, harness.now).len(), 1);
    }

    /// Guards against an executor that is asked, and kept on record, forever because it listed only a part of its ends
    /// before another one took its address.
    an_executor_replaced_between_two_pages_is_forgotten {
        let now = lagoon_core::unit::Timestamp::from_millis(1_000);
        let mut dispatcher = recovering(2, &[("e1", 8)]);
        let record = ExecutorRecord::from(&crate::harness::entry("e1", 8));
        dispatcher.load_executor(record.clone(), now);
        let slot = ExecutorSlot::new(0);
        let first_page = Listing { complete: false, ..listing(now, &[], vec![]) };
        dispatcher.listed(slot, &first_page, now, now);
        dispatcher.replaced(slot, record.address, now);
        let mut harness = Harness::serve(dispatcher);
        assert!(matches!(harness.dispatcher.next_hold(slot, true, harness.now), HoldAction::Idle));
        assert_eq!(harness.dispatcher.take_departed_executors(8, harness.now).len(), 1);
    }

    /// Guards against inherited work that waits for an executor whose address now belongs to another one.
    an_executor_whose_address_is_taken_is_not_waited_for {
        let now = lagoon_core::unit::Timestamp::from_millis(1_000);
        let mut dispatcher = recovering(2, &[("e1", 8)]);
        let gone = ExecutorRecord::from(&crate::harness::entry("e2", 8));
        dispatcher.load_executor(gone.clone(), now);
        dispatcher.load(job_id(1), record("urgent", vec![step(1, 1)]), &Progress::default(), now);
        dispatcher.listed(ExecutorSlot::new(0), &listing(now, &[], vec![]), now, now);
        dispatcher.replaced(ExecutorSlot::new(1), gone.address, now);
        let mut harness = Harness::serve(dispatcher);
        assert_eq!(starts(&harness.plan()).len(), 1);
        let left = harness.dispatcher.take_departed_executors(8, harness.now);
        assert_eq!(left, ["e2".parse().unwrap()]);
    }

    /// Guards against removing the record of an executor that is back at another address.
    an_executor_that_has_returned_is_not_forgotten {
        let now = lagoon_core::unit::Timestamp::from_millis(1_000);
        let mut dispatcher = recovering(2, &[("e1", 8)]);
        let gone = ExecutorRecord::from(&crate::harness::entry("e2", 8));
        dispatcher.load_executor(gone.clone(), now);
        dispatcher.replaced(ExecutorSlot::new(1), gone.address, now);
        let mut harness = Harness::serve(dispatcher);
        let mut back = crate::harness::entry("e2", 8);
        back.address = "127.0.0.1:9001".parse().unwrap();
        harness.dispatcher.observe(back, harness.now);
        assert_eq!(harness.dispatcher.unrecorded_executors(8).len(), 1);
        assert!(harness.dispatcher.take_departed_executors(8, harness.now).is_empty());
    }

    /// Guards against failed runs that are not counted because executors list them out of order.
    failures_count_in_any_order {
        let mut dispatcher = recovering(2, &[("e1", 8), ("e2", 8)]);
        let now = lagoon_core::unit::Timestamp::from_millis(1_000);
        dispatcher.load(job_id(1), record("urgent", vec![step(1, 1)]), &Progress::default(), now);
        let task = StepKey::new(job_id(1), 0, 0).task(0);
        for (slot, number) in [(0, 2), (1, 1)] {
            let ended = vec![end(1, task, number, RunOutcome::Failed)];
            dispatcher.listed(ExecutorSlot::new(slot), &listing(now, &[], ended), now, now);
        }
        let mut harness = Harness::serve(dispatcher);
        assert!(starts(&harness.plan()).is_empty());
        harness.record_all();
        assert_eq!(harness.state(job_id(1)), JobState::Failed);
    }

    /// Guards against stored progress that a later owner reads differently.
    stored_progress_survives_a_takeover {
        let mut harness = Harness::with(&[("e1", 8)]);
        let id = harness.submit(1, "urgent", vec![step(2, 1)]);
        let started = harness.start_all();
        harness.ended(&started[0], RunOutcome::Done);
        harness.ended(&started[1], RunOutcome::Failed);
        let (_, progress) = harness.record_all().remove(0);
        let stored = serde_json::to_vec(&progress).unwrap();
        let progress: Progress = serde_json::from_slice(&stored).unwrap();
        let now = harness.now;
        let mut next = recovering(2, &[("e1", 8)]);
        next.load(id, record("urgent", vec![step(2, 1)]), &progress, now);
        let ends = vec![
            end(1, started[0].task, 1, RunOutcome::Done),
            end(2, started[1].task, 1, RunOutcome::Failed),
        ];
        next.listed(ExecutorSlot::new(0), &listing(now, &[], ends), now, now);
        let mut harness = Harness::serve(next);
        let again = starts(&harness.plan());
        assert_eq!(again.len(), 1);
        assert_eq!(again[0].task, started[1].task);
        assert!(again[0].number > started[1].number);
    }

    /// Guards against a second run beside one that was listed before its job became known.
    a_run_listed_before_its_job_is_adopted {
        let mut harness = Harness::with(&[("e1", 8), ("e2", 8)]);
        let task = StepKey::new(job_id(1), 0, 0).task(0);
        harness.list(0, &[(task, 1)], vec![]);
        assert!(stops(&harness.plan()).is_empty());
        harness.submit(1, "urgent", vec![step(1, 1)]);
        assert!(starts(&harness.plan()).is_empty());
    }

    /// Guards against losing an end that is acknowledged before its job is known.
    an_end_is_deferred_until_its_job_is_known {
        let mut harness = Harness::with(&[("e1", 8)]);
        let task = StepKey::new(job_id(1), 0, 0).task(0);
        let ended = vec![end(1, task, 1, RunOutcome::Done)];
        harness.list(0, &[], ended.clone());
        assert_ne!(harness.acknowledged(0), Some(1));
        let id = harness.submit(1, "urgent", vec![step(1, 1)]);
        harness.list(0, &[], ended);
        harness.record_all();
        assert_eq!(harness.state(id), JobState::Done);
        assert!(starts(&harness.plan()).is_empty());
    }
}
