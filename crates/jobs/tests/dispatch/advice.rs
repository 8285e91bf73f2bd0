//! Tests of requests to the adviser and of the use of its tickets.

use lagoon_jobs::dispatch::Effect;
use lagoon_jobs::id::JobId;
use lagoon_jobs::spec::StepSpec;

use crate::harness::{Harness, advice_requests, job_id, starts, step, stops};

fn gang(count: u32, need: u64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, need)
    }
}

cases! {
    /// Guards against starts without a ticket in a queue that requires advice.
    nothing_starts_without_a_ticket {
        let mut harness = Harness::with(&[("e1", 8)]);
        harness.submit(1, "advised", vec![step(1, 1)]);
        let effects = harness.plan();
        assert!(starts(&effects).is_empty());
        let request = advice_requests(&effects).remove(0);
        harness.advise(&request, 1_500);
        let started = starts(&harness.plan());
        assert_eq!(started.len(), 1);
        assert!(started[0].ticket.is_some());
    }

    /// Guards against starts with an expired ticket.
    an_expired_ticket_is_renewed {
        let mut harness = Harness::with(&[("e1", 1)]);
        harness.submit(1, "advised", vec![step(2, 1)]);
        let request = advice_requests(&harness.plan()).remove(0);
        harness.advise(&request, 1_500);
        let first = harness.start_all();
        assert_eq!(first.len(), 1);
        harness.advance(2_000);
        harness.ended(&first[0], lagoon_jobs::run::RunOutcome::Done);
        let effects = harness.plan();
        assert!(starts(&effects).is_empty());
        assert_eq!(advice_requests(&effects).len(), 1);
    }

    /// Guards against a gang that never renews its tickets because its own reservation hides the capacity from it.
    a_reservation_does_not_keep_its_gang_from_renewing_tickets {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.submit(1, "advised", vec![gang(4, 2)]);
        let request = advice_requests(&harness.plan()).remove(0);
        harness.advise(&request, 1_500);
        harness.advance(1_600);
        let again = advice_requests(&harness.plan());
        assert_eq!(again.len(), 1);
        harness.advise(&again[0], 1_500);
        assert_eq!(starts(&harness.plan()).len(), 4);
    }

    /// Guards against slow requests that occupy all lanes, so that fast ones have to wait for them.
    slow_requests_leave_lanes_to_fast_ones {
        let mut harness = Harness::with(&[("e1", 8), ("e2", 8), ("e3", 8)]);
        for job in 1..=6 {
            harness.submit(job, "advised", vec![gang(4, 2)]);
        }
        let sent = advice_requests(&harness.plan());
        assert!(sent.len() < 3, "{} of 3 lanes are in use", sent.len());
        for request in &sent {
            harness.dispatcher.advice_received(request, None, harness.now);
        }
        harness.advance(200);
        assert!(!advice_requests(&harness.plan()).is_empty());
    }

    /// Guards against a slow request that never gets a lane because faster requests of less urgent work keep all of
    /// them partly occupied.
    fast_requests_do_not_starve_a_slow_one {
        let mut harness = Harness::with(&[("e1", 8), ("e2", 8), ("e3", 8)]);
        for job in 1..=12 {
            harness.submit(job, "medium", vec![step(4, 1)]);
        }
        let mut open = advice_requests(&harness.plan());
        assert!(!open.is_empty());
        let slow = harness.submit(20, "advised", vec![gang(4, 2)]);
        for _ in 0..20 {
            harness.advance(150);
            // Answers arrive one at a time, so that a lane with two open requests never becomes empty by itself.
            let answered = open.remove(0);
            harness.dispatcher.advice_received(&answered, None, harness.now);
            open.extend(advice_requests(&harness.plan()));
            if open.iter().any(|request| request.step.job() == slow) {
                return;
            }
        }
        panic!("the slow request was never sent");
    }

    /// Guards against further requests through a member that is cut off, each of which costs a timeout.
    a_member_that_timed_out_is_not_used_again_at_once {
        let mut harness = Harness::with(&[("e1", 8), ("e2", 8), ("e3", 8)]);
        harness.submit(1, "quick", vec![step(1, 1)]);
        let first = advice_requests(&harness.plan()).remove(0);
        harness.dispatcher.advice_received(&first, None, harness.now);
        harness.advance(200);
        let second = advice_requests(&harness.plan()).remove(0);
        assert_ne!(first.member, second.member);
    }

    /// Guards against repeated requests for a gang that can't free enough capacity, which delay other requests.
    a_gang_without_capacity_renews_no_tickets {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.submit(1, "urgent", vec![step(8, 1)]);
        assert_eq!(harness.start_all().len(), 8);
        harness.submit(2, "advised", vec![gang(2, 2)]);
        let request = advice_requests(&harness.plan()).remove(0);
        harness.advise(&request, 1_500);
        for _ in 0..5 {
            harness.advance(1_600);
            assert!(advice_requests(&harness.plan()).is_empty(), "advice was requested although nothing can be preempted");
        }
    }

    /// Guards against an overflow where each of several executors fits more tasks than can be counted.
    a_gang_that_needs_next_to_nothing_renews_its_tickets {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.submit(1, "advised", vec![gang(4, 0)]);
        let request = advice_requests(&harness.plan()).remove(0);
        harness.advise(&request, 1_500);
        harness.advance(1_600);
        let renewal = advice_requests(&harness.plan()).remove(0);
        harness.advise(&renewal, 1_500);
        assert_eq!(starts(&harness.plan()).len(), 4);
    }

    /// Guards against preempting work for a gang that can't start yet, so that the work is placed again meanwhile.
    a_gang_preempts_nothing_before_it_has_tickets {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        let saving = StepSpec { saves_progress: true, ..step(8, 1) };
        harness.submit(1, "bulk", vec![saving]);
        assert_eq!(harness.start_all().len(), 8);
        harness.submit(2, "advised", vec![gang(4, 2)]);
        let request = advice_requests(&harness.plan()).remove(0);
        harness.advise(&request, 1_500);
        harness.advance(1_600);
        let effects = harness.plan();
        assert!(stops(&effects).is_empty(), "preempted although the tickets have expired");
        let renewal = advice_requests(&effects).remove(0);
        assert!(stops(&harness.plan()).is_empty(), "preempted although the renewal is not answered");
        harness.advise(&renewal, 1_500);
        assert_eq!(stops(&harness.plan()).len(), 8);
    }

    /// Guards against work that waits for good behind jobs that fit no executor: they are tried first, and each used up one of the
    /// searches for executors of every placement pass.
    jobs_that_fit_no_executor_keep_no_others_from_starting {
        let mut harness = Harness::with(&[("e1", 8), ("e2", 8)]);
        for job in 1..=12 {
            harness.submit(job, "advised", vec![step(1, 16)]);
        }
        harness.submit(13, "quick", vec![step(1, 1)]);
        assert_eq!(requested_steps(&mut harness, 1), [job_id(13)]);
    }

    /// Guards against the same with jobs that require a label that no executor has.
    jobs_without_a_suitable_executor_keep_no_others_from_starting {
        let mut harness = Harness::with(&[("e1", 8), ("e2", 8)]);
        for job in 1..=12 {
            let requires = Some("absent".parse().unwrap());
            harness.submit(job, "advised", vec![StepSpec { requires, ..step(1, 1) }]);
        }
        harness.submit(13, "quick", vec![step(1, 1)]);
        assert_eq!(requested_steps(&mut harness, 3), [job_id(13)]);
    }
}

/// Returns the jobs for which advice is requested within a number of passes.
fn requested_steps(harness: &mut Harness, passes: usize) -> Vec<JobId> {
    let effects = (0..passes).flat_map(|_| harness.plan());
    let effects: Vec<Effect> = effects.collect();
    let requests = advice_requests(&effects).into_iter();
    requests.map(|request| request.step.job()).collect()
}
