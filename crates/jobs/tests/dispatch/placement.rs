//! Tests of placement: capacity, dependencies, spread and labels, and the states of jobs.

use lagoon_jobs::fleet::ExecutorSlot;
use lagoon_jobs::job::JobState;
use lagoon_jobs::run::{RunOutcome, StartOutcome, StartRefusal};
use lagoon_jobs::spec::StepSpec;

use crate::harness::{Harness, entry, starts, step, stops};

cases! {
    /// Guards against placing more work on an executor than its capacity.
    work_that_does_not_fit_waits {
        let mut harness = Harness::with(&[("e1", 4)]);
        harness.submit(1, "urgent", vec![step(3, 2)]);
        assert_eq!(harness.start_all().len(), 2);
        assert!(starts(&harness.plan()).is_empty());
    }

    /// Guards against starting a step before its dependencies are done.
    a_step_waits_for_its_dependencies {
        let mut harness = Harness::with(&[("e1", 8)]);
        let second = StepSpec { after: [0].into_iter().collect(), ..step(1, 1) };
        let id = harness.submit(1, "urgent", vec![step(1, 1), second]);
        let first = harness.start_all();
        assert_eq!(first.len(), 1);
        assert_eq!(harness.state(id), JobState::Running);
        harness.ended(&first[0], RunOutcome::Done);
        let second = harness.start_all();
        assert_eq!(second.len(), 1);
        assert_eq!(second[0].task.step().step(), 1);
    }

    /// Guards against showing a job as done, or acknowledging its end, before a later owner would know.
    done_is_shown_and_acknowledged_once_durable {
        let mut harness = Harness::with(&[("e1", 8)]);
        let id = harness.submit(1, "urgent", vec![step(1, 1)]);
        let started = harness.start_all();
        harness.ended(&started[0], RunOutcome::Done);
        assert_eq!(harness.state(id), JobState::Running);
        assert_eq!(harness.acknowledged(0), None);
        harness.record_all();
        assert_eq!(harness.state(id), JobState::Done);
        assert_eq!(harness.acknowledged(0), Some(1));
    }

    /// Guards against counting an end twice. Executors list an end until it is acknowledged.
    an_end_listed_twice_counts_once {
        let mut harness = Harness::with(&[("e1", 8)]);
        let id = harness.submit(1, "urgent", vec![step(1, 1)]);
        let started = harness.start_all();
        let ended = crate::harness::end(1, started[0].task, started[0].number.get(), RunOutcome::Failed);
        harness.list(0, &[], vec![ended.clone()]);
        harness.list(0, &[], vec![ended]);
        harness.record_all();
        assert_ne!(harness.state(id), JobState::Failed);
    }

    /// Guards against more attempts than the queue allows.
    a_job_fails_after_its_last_attempt {
        let mut harness = Harness::with(&[("e1", 8)]);
        let id = harness.submit(1, "urgent", vec![step(1, 1)]);
        for _ in 0..2 {
            let started = harness.start_all();
            assert_eq!(started.len(), 1);
            harness.ended(&started[0], RunOutcome::Failed);
        }
        assert!(harness.start_all().is_empty());
        harness.record_all();
        assert_eq!(harness.state(id), JobState::Failed);
    }

    /// Guards against starting a task twice when the first start was not answered.
    an_unanswered_start_is_not_repeated_before_a_stop_is_confirmed {
        let mut harness = Harness::with(&[("e1", 8), ("e2", 8)]);
        harness.submit(1, "urgent", vec![step(1, 1)]);
        let request = starts(&harness.plan()).remove(0);
        harness.dispatcher.started(&request, StartOutcome::Unknown { connection_age: None }, harness.now);
        harness.advance(1);
        harness.list(request.slot.get(), &[], vec![]);
        let stop = stops(&harness.plan()).remove(0);
        assert!(starts(&harness.plan()).is_empty());
        harness.dispatcher.stop_confirmed(&stop, harness.now);
        harness.advance(1);
        harness.list(request.slot.get(), &[], vec![]);
        let again = starts(&harness.plan());
        assert_eq!(again.len(), 1);
        assert!(again[0].number > request.number);
    }

    /// Guards against dropping a task whose start was refused.
    a_refused_start_is_retried_on_another_executor {
        // With one suspect of five executors: if more than a quarter were suspect, they would be used again.
        let mut harness = Harness::with(&[("e1", 8), ("e2", 8), ("e3", 8), ("e4", 8), ("e5", 8)]);
        harness.submit(1, "urgent", vec![step(1, 1)]);
        let request = starts(&harness.plan()).remove(0);
        let refused = StartOutcome::Refused(StartRefusal::NoRoom);
        harness.dispatcher.started(&request, refused, harness.now);
        let again = starts(&harness.plan()).remove(0);
        assert_ne!(again.slot, request.slot);
    }

    /// Guards against placing more tasks of a step on one executor than the caller allows.
    the_limit_of_tasks_per_executor_is_respected {
        let mut harness = Harness::with(&[("e1", 8), ("e2", 8)]);
        let spread = StepSpec { max_per_executor: Some(1), ..step(3, 1) };
        harness.submit(1, "urgent", vec![spread]);
        let started = harness.start_all();
        assert_eq!(started.len(), 2);
        assert_ne!(started[0].slot, started[1].slot);
    }

    /// Guards against placing a task on an executor without the required label.
    required_labels_are_respected {
        let mut harness = Harness::with(&[("e1", 8)]);
        let labelled = StepSpec { requires: Some("b".parse().unwrap()), ..step(1, 1) };
        harness.submit(1, "urgent", vec![labelled]);
        assert!(harness.start_all().is_empty());
    }

    /// Guards against starting tasks on an executor that is about to leave.
    a_draining_executor_gets_no_new_runs {
        let mut harness = Harness::with(&[("e1", 8)]);
        let mut leaving = entry("e1", 8);
        leaving.draining = true;
        harness.dispatcher.observe(leaving, harness.now);
        harness.submit(1, "urgent", vec![step(1, 1)]);
        assert!(harness.start_all().is_empty());
    }

    /// Guards against runs that continue after their job was cancelled.
    cancelling_stops_runs_and_starts_none {
        let mut harness = Harness::with(&[("e1", 1)]);
        let id = harness.submit(1, "urgent", vec![step(2, 1)]);
        let started = harness.start_all();
        assert_eq!(started.len(), 1);
        harness.dispatcher.cancel(id, harness.now);
        let effects = harness.plan();
        assert_eq!(stops(&effects).len(), 1);
        assert!(starts(&effects).is_empty());
        harness.ended(&started[0], RunOutcome::Stopped);
        assert!(starts(&harness.plan()).is_empty());
        harness.record_all();
        assert_eq!(harness.state(id), JobState::Cancelled);
    }

    /// Guards against a run without progress that is never stopped.
    a_stalled_run_is_stopped {
        let mut harness = Harness::with(&[("e1", 8)]);
        harness.submit(1, "urgent", vec![step(1, 1)]);
        let request = harness.start_all().remove(0);
        let mut list = crate::harness::listing(harness.now, &[(request.task, request.number.get())], vec![]);
        list.running[0].percent = 20;
        harness.dispatcher.listed(request.slot, &list, harness.now, harness.now);
        harness.advance(5_000);
        list.executor_ms = harness.now.as_millis();
        harness.dispatcher.listed(request.slot, &list, harness.now, harness.now);
        assert_eq!(stops(&harness.plan()).len(), 1);
    }

    /// Guards against placing more work on an executor whose runs all fail.
    an_executor_whose_runs_fail_is_suspect {
        let mut harness = Harness::with(&[("e1", 8), ("e2", 8), ("e3", 8), ("e4", 8)]);
        for job in 1..=3 {
            harness.submit(job, "urgent", vec![step(1, 8)]);
        }
        let bad = harness.start_all().remove(0).slot;
        for job in 10..13 {
            harness.dispatcher.submit(
                crate::harness::job_id(job),
                crate::harness::record("bulk", vec![step(1, 8)]),
                harness.now,
            );
        }
        let ends = (1..=3).map(|n| {
            let task = lagoon_jobs::id::StepKey::new(crate::harness::job_id(9 + n), 0, 0).task(0);
            crate::harness::end(n, task, n, RunOutcome::Failed)
        });
        harness.list(bad.get(), &[], ends.collect());
        assert!(starts(&harness.plan()).iter().all(|request| request.slot != bad));
    }

    /// Guards against counting resources as free while an unexpected run uses them.
    an_unexpected_run_occupies_its_resources {
        let mut harness = Harness::with(&[("e1", 4)]);
        let id = harness.submit(1, "urgent", vec![step(1, 4)]);
        harness.dispatcher.cancel(id, harness.now);
        let unexpected = lagoon_jobs::id::StepKey::new(id, 0, 0).task(0);
        harness.list(0, &[(unexpected, 7)], vec![]);
        harness.submit(2, "urgent", vec![step(1, 1)]);
        let effects = harness.plan();
        assert_eq!(stops(&effects).len(), 1);
        assert!(starts(&effects).is_empty());
        harness.list(0, &[], vec![crate::harness::end(1, unexpected, 7, RunOutcome::Stopped)]);
        assert_eq!(starts(&harness.plan()).len(), 1);
    }

    /// Guards against placing a job that is too late to be of use before one that is not.
    work_that_is_too_late_to_be_of_use_goes_last {
        let mut harness = Harness::with(&[("e1", 1)]);
        harness.submit(1, "urgent", vec![step(1, 1)]);
        harness.advance(600_000);
        let fresh = lagoon_jobs::job::JobRecord::new(
            "bulk".parse().unwrap(),
            harness.now,
            lagoon_jobs::spec::JobSpec::new("p", vec![step(1, 1)], None).unwrap(),
        );
        harness.dispatcher.submit(crate::harness::job_id(2), fresh, harness.now);
        harness.list(0, &[], vec![]);
        let started = harness.start_all();
        assert_eq!(started[0].task.job(), crate::harness::job_id(2));
    }

    /// Guards against a job that can no longer meet its objective and is placed before one that can.
    work_that_can_meet_its_objective_goes_first {
        let mut harness = Harness::with(&[("e1", 1)]);
        harness.submit(1, "urgent", vec![step(1, 1)]);
        // The objective is 2 s of stretched run time and 1 s on top. At 3.5 s it is missed, at 9 s the job is of no
        // use.
        harness.advance(3_500);
        let record = lagoon_jobs::job::JobRecord::new(
            "urgent".parse().unwrap(),
            harness.now,
            lagoon_jobs::spec::JobSpec::new("p", vec![step(1, 1)], None).unwrap(),
        );
        harness.dispatcher.submit(crate::harness::job_id(2), record, harness.now);
        harness.list(0, &[], vec![]);
        let started = harness.start_all();
        assert_eq!(started[0].task.job(), crate::harness::job_id(2));
    }

    /// Guards against using suspect executors because others have left the fleet: executors that had left were counted
    /// as suspect.
    executors_that_left_do_not_count_as_suspect {
        let fleet = [("e1", 4), ("e2", 4), ("e3", 4), ("e4", 4), ("e5", 4), ("e6", 4)];
        let mut harness = Harness::with(&fleet);
        for gone in ["e1", "e2"] {
            let slot = harness.dispatcher.unlist(&gone.parse().unwrap()).unwrap();
            harness.dispatcher.hold_failed(slot, harness.now);
        }
        harness.dispatcher.hold_failed(ExecutorSlot::new(2), harness.now);
        harness.submit(1, "urgent", vec![step(6, 2)]);
        let started = harness.start_all();
        assert_eq!(started.len(), 6);
        assert!(started.iter().all(|request| request.slot.index() > 2));
    }
}
