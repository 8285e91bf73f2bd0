//! Tests of gangs, whose tasks run only all at the same time.

use lagoon_jobs::job::JobState;
use lagoon_jobs::run::{RunOutcome, StartOutcome, StartRefusal};
use lagoon_jobs::spec::StepSpec;

use crate::harness::{Harness, entry, job_id, starts, step, stops};

fn gang(count: u32, need: u64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, need)
    }
}

cases! {
    /// Guards against gang tasks that wait for others which can't be placed.
    a_gang_starts_completely_or_not_at_all {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.submit(1, "urgent", vec![gang(5, 2)]);
        assert!(starts(&harness.plan()).is_empty());
        harness.submit(2, "urgent", vec![gang(4, 2)]);
        let started = starts(&harness.plan());
        assert_eq!(started.len(), 4);
        assert!(started.iter().all(|request| request.number == started[0].number));
    }

    /// Guards against running a gang again because the end of some tasks was not listed.
    one_done_task_completes_the_gang {
        let mut harness = Harness::with(&[("e1", 8)]);
        let id = harness.submit(1, "urgent", vec![gang(3, 1)]);
        let started = harness.start_all();
        harness.ended(&started[1], RunOutcome::Done);
        harness.record_all();
        assert_eq!(harness.state(id), JobState::Done);
    }

    /// Guards against gang tasks that keep running after the start of another one was refused.
    a_refused_start_stops_the_rest_of_the_gang {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.submit(1, "urgent", vec![gang(4, 2)]);
        let started = starts(&harness.plan());
        harness.dispatcher.started(&started[0], harness.confirmed(), harness.now);
        let refused = StartOutcome::Refused(StartRefusal::Ticket);
        harness.dispatcher.started(&started[1], refused, harness.now);
        assert_eq!(stops(&harness.plan()).len(), 3);
    }

    /// Guards against a failed gang that uses up one attempt per task.
    a_failed_gang_uses_one_attempt {
        let mut harness = Harness::with(&[("e1", 8)]);
        let id = harness.submit(1, "urgent", vec![gang(2, 1)]);
        let started = harness.start_all();
        let number = started[0].number.get();
        let ends = vec![
            crate::harness::end(1, started[0].task, number, RunOutcome::Failed),
            crate::harness::end(2, started[1].task, number, RunOutcome::Failed),
        ];
        harness.list(0, &[], ends);
        harness.record_all();
        assert_ne!(harness.state(id), JobState::Failed);
        assert_eq!(starts(&harness.plan()).len(), 2);
    }

    /// Guards against a gang that waits while less urgent work, which has slack and saves its progress, uses the
    /// capacity.
    a_gang_preempts_less_urgent_work {
        let mut harness = Harness::with(&[("e1", 4)]);
        let saving = StepSpec { saves_progress: true, ..step(4, 1) };
        harness.submit(1, "bulk", vec![saving]);
        let bulk = harness.start_all();
        assert_eq!(bulk.len(), 4);
        harness.submit(2, "urgent", vec![gang(2, 1)]);
        let stopped = stops(&harness.plan());
        assert_eq!(stopped.len(), 2);
        assert!(stops(&harness.plan()).is_empty());
        for stop in &stopped {
            harness.dispatcher.stop_confirmed(stop, harness.now);
            let request = bulk.iter().find(|request| request.task == stop.task).unwrap();
            let others: Vec<_> = bulk
                .iter()
                .filter(|other| !stopped.iter().any(|stop| stop.task == other.task))
                .map(|other| (other.task, other.number.get()))
                .collect();
            let sequence = 1 + stopped.iter().position(|s| s.task == stop.task).unwrap() as u64;
            let ended = crate::harness::end(sequence, request.task, request.number.get(), RunOutcome::Stopped);
            harness.list(0, &others, vec![ended]);
        }
        let started = starts(&harness.plan());
        assert_eq!(started.len(), 2);
        assert!(started.iter().all(|request| request.task.job() == crate::harness::job_id(2)));
    }

    /// Guards against preempting work, which may miss its objective for it, for a gang that can no longer meet its own.
    /// At the end of a busy day such gangs preempted up to 700 tasks per second, and the backlog did not drain.
    a_gang_that_misses_its_objective_preempts_nothing {
        let mut harness = Harness::with(&[("e1", 4)]);
        let saving = StepSpec { saves_progress: true, ..step(4, 1) };
        harness.submit(1, "bulk", vec![saving]);
        let bulk = harness.start_all();
        assert_eq!(bulk.len(), 4);
        harness.advance(3_500);
        let running: Vec<_> = bulk.iter().map(|request| (request.task, request.number.get())).collect();
        harness.list(0, &running, vec![]);
        // Accepted at the start of the test.
        harness.submit(2, "urgent", vec![gang(2, 1)]);
        assert!(stops(&harness.plan()).is_empty());
        let spec = lagoon_jobs::spec::JobSpec::new("p", vec![gang(2, 1)], None).unwrap();
        let fresh = lagoon_jobs::job::JobRecord::new("urgent".parse().unwrap(), harness.now, spec);
        harness.dispatcher.submit(crate::harness::job_id(3), fresh, harness.now);
        assert_eq!(stops(&harness.plan()).len(), 2);
    }

    /// Guards against starving a gang: urgent single tasks take each part of its capacity as it becomes free.
    urgent_tasks_avoid_capacity_reserved_by_a_gang {
        let mut harness = Harness::with(&[("e1", 8), ("e2", 5), ("e3", 6)]);
        let saving = StepSpec { saves_progress: true, ..step(8, 1) };
        harness.submit(1, "bulk", vec![saving]);
        let bulk = harness.start_all();
        let on_first = bulk.iter().filter(|start| start.slot.get() == 0).count();
        assert!(on_first < 8, "the bulk tasks fill the tightest executors first");
        let filled = harness.submit(9, "urgent", vec![gang(3, 5)]);
        assert!(!stops(&harness.plan()).is_empty());
        harness.dispatcher.observe(entry("e4", 9), harness.now);
        harness.record_executors();
        harness.list(3, &[], Vec::new());
        let urgent = harness.submit(2, "urgent", vec![step(1, 5)]);
        let started = starts(&harness.plan());
        assert!(started.iter().all(|start| start.task.job() != filled));
        let single = started.iter().find(|start| start.task.job() == urgent).unwrap();
        assert_eq!(single.slot.get(), 3);
    }

    /// Guards against work that waits for good behind a gang that fits only where nothing else runs: it reserved all free resources beside
    /// a service, which does not end.
    a_gang_reserves_nothing_that_long_running_tasks_keep_from_it {
        let mut harness = Harness::with(&[("e1", 8), ("e2", 8)]);
        let service = StepSpec { long_running: true, max_per_executor: Some(1), ..step(2, 4) };
        harness.submit(1, "urgent", vec![service]);
        assert_eq!(harness.start_all().len(), 2);
        harness.submit(2, "urgent", vec![StepSpec { gang: true, ..step(2, 6) }]);
        harness.submit(3, "bulk", vec![step(2, 1)]);
        let started = harness.start_all();
        let jobs: Vec<_> = started.iter().map(|req| req.task.job()).collect();
        assert_eq!(jobs, [job_id(3), job_id(3)]);
    }
}
