//! Tests of executors that have restarted under the same id.

use lagoon_core::unit::{Millis, Timestamp};
use lagoon_jobs::dispatch::{HoldAction, StartRequest};
use lagoon_jobs::fleet::ExecutorSlot;
use lagoon_jobs::id::{Incarnation, TaskKey};
use lagoon_jobs::run::{EndedRun, Listing, RunOutcome, StartOutcome};

use crate::harness::{Harness, listing, starts, step};

cases! {
    /// Guards against a second run beside one that the new incarnation confirmed before the registry names that
    /// incarnation.
    a_run_confirmed_by_the_new_incarnation_survives_its_registration {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = start(&mut harness, None);
        harness.register(request.executor.as_str(), 4, 2);
        assert!(starts(&harness.plan()).is_empty());
        let sent_at = harness.now;
        harness.advance(20);
        let list = new_incarnation_listing(harness.now, &[(request.task, request.number.get())], vec![]);
        harness.dispatcher.listed(request.slot, &list, sent_at, harness.now);
        assert!(starts(&harness.plan()).is_empty());
    }

    /// Guards against a second run beside one that the new incarnation confirmed while an older list was in flight.
    a_run_confirmed_by_the_new_incarnation_survives_an_older_list {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let sent_at = harness.now;
        let request = start(&mut harness, None);
        harness.advance(20);
        let list = new_incarnation_listing(harness.now, &[], vec![]);
        harness.dispatcher.listed(request.slot, &list, sent_at, harness.now);
        assert!(starts(&harness.plan()).is_empty());
    }

    /// Guards against waiting for a run that a later list of the new incarnation does not contain.
    a_run_that_the_new_incarnation_does_not_list_starts_again {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = start(&mut harness, None);
        harness.register(request.executor.as_str(), 4, 2);
        harness.advance(1);
        let sent_at = harness.now;
        harness.advance(20);
        let list = new_incarnation_listing(harness.now, &[], vec![]);
        harness.dispatcher.listed(request.slot, &list, sent_at, harness.now);
        let again = starts(&harness.plan());
        assert_eq!(again.len(), 1);
        assert!(again[0].number > request.number);
    }

    /// Guards against work that waits for a list although the answer to its start has the clock of the earlier
    /// incarnation.
    a_run_confirmed_by_the_earlier_incarnation_starts_again_at_once {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = harness.start_all().remove(0);
        harness.register(request.executor.as_str(), 4, 2);
        assert_eq!(starts(&harness.plan()).len(), 1);
    }

    /// Guards against acknowledging ends before they are listed: the executor has restarted, and its ends have the
    /// sequence numbers of those that its earlier incarnation listed.
    ends_of_a_new_incarnation_are_not_acknowledged_unread {
        let mut harness = Harness::with(&[("e1", 4)]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = harness.start_all().remove(0);
        harness.ended(&request, RunOutcome::Done);
        harness.record_all();
        harness.submit(2, "urgent", vec![step(1, 4)]);
        let request = start(&mut harness, None);
        let slot = request.slot;
        assert!(matches!(harness.dispatcher.next_hold(slot, false, harness.now), HoldAction::AwaitRecord));
        assert_eq!(harness.acknowledged(0), Some(0));
        let list = new_incarnation_listing(harness.now, &[(request.task, request.number.get())], vec![]);
        harness.dispatcher.listed(request.slot, &list, harness.now, harness.now);
        assert_eq!(harness.acknowledged(0), Some(0));
    }

    /// Guards against attributing a run of a new incarnation to the earlier one, whose list was in flight for long.
    a_clock_counts_from_the_request_for_the_last_list {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        let sent_at = harness.now;
        harness.advance(400);
        let list = Listing { executor_ms: 1_020, ..listing(harness.now, &[], vec![]) };
        for slot in 0..2 {
            harness.dispatcher.listed(ExecutorSlot::new(slot), &list, sent_at, harness.now);
        }
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = start(&mut harness, Some(380));
        harness.register(request.executor.as_str(), 4, 2);
        assert!(starts(&harness.plan()).is_empty());
    }

    /// Guards against detecting a new incarnation only by a later list although the answer to a start shows its clock.
    a_clock_that_went_back_causes_an_immediate_hold {
        let mut harness = Harness::with(&[("e1", 4)]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = start(&mut harness, Some(5));
        let HoldAction::Hold(req) = harness.dispatcher.next_hold(request.slot, false, harness.now) else {
            panic!("no hold is sent to the executor");
        };
        assert_eq!((req.wait, req.lease_end_ms), (Millis::ZERO, None));
    }

    /// Guards against waiting for a run that was to stop although the earlier incarnation had listed it, so that its
    /// start can't reach the new one.
    a_stopping_run_of_the_earlier_incarnation_is_lost {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        let id = harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = harness.start_all().remove(0);
        harness.list(request.slot.get(), &[(request.task, request.number.get())], vec![]);
        harness.dispatcher.cancel(id, harness.now);
        harness.register(request.executor.as_str(), 4, 2);
        let list = new_incarnation_listing(harness.now, &[], vec![]);
        harness.dispatcher.listed(request.slot, &list, harness.now, harness.now);
        harness.submit(2, "urgent", vec![step(2, 4)]);
        harness.record_executors();
        assert_eq!(starts(&harness.plan()).len(), 2);
    }

    /// Guards against an acknowledgement that reaches a new incarnation late, in a hold to an unresponsive executor.
    an_unresponsive_executor_gets_no_acknowledgement {
        let mut harness = Harness::with(&[("e1", 4)]);
        harness.submit(1, "urgent", vec![step(2, 1)]);
        let requests = harness.start_all();
        let running = [(requests[1].task, requests[1].number.get())];
        let ended = crate::harness::end(1, requests[0].task, requests[0].number.get(), RunOutcome::Done);
        harness.list(0, &running, vec![ended]);
        harness.record_all();
        harness.dispatcher.hold_failed(requests[0].slot, harness.now);
        assert_eq!(harness.acknowledged(0), Some(0));
        harness.list(0, &running, vec![]);
        assert_eq!(harness.acknowledged(0), Some(1));
    }

    /// Guards against acknowledgements that are delayed as long as an executor keeps getting new runs.
    ends_are_acknowledged_beside_runs_of_the_same_incarnation {
        let mut harness = Harness::with(&[("e1", 4)]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = harness.start_all().remove(0);
        harness.ended(&request, RunOutcome::Done);
        harness.record_all();
        harness.submit(2, "urgent", vec![step(1, 4)]);
        harness.start_all();
        assert_eq!(harness.acknowledged(0), Some(1));
    }

    /// Guards against work that waits for a list although the earlier incarnation had listed its run, which ended with
    /// it.
    a_run_listed_by_the_earlier_incarnation_starts_again_at_once {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = harness.start_all().remove(0);
        harness.list(request.slot.get(), &[(request.task, request.number.get())], vec![]);
        harness.register(request.executor.as_str(), 4, 2);
        assert_eq!(starts(&harness.plan()).len(), 1);
    }
}

/// Starts a task. The executor's answer contains this reading of its clock.
fn start(harness: &mut Harness, executor_ms: Option<u64>) -> StartRequest {
    let request = starts(&harness.plan()).remove(0);
    harness.advance(1);
    let outcome = StartOutcome::Started { executor_ms };
    harness.dispatcher.started(&request, outcome, harness.now);
    request
}

fn new_incarnation_listing(
    now: Timestamp,
    running: &[(TaskKey, u64)],
    ended: Vec<EndedRun>,
) -> Listing {
    Listing {
        incarnation: Some(Incarnation::new(2)),
        executor_ms: 5,
        ..listing(now, running, ended)
    }
}
