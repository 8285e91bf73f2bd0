//! Tests of which incarnation of an executor counts, and of what its registry entry says about it.

use lagoon_core::unit::{Millis, Timestamp};
use lagoon_jobs::dispatch::HoldAction;
use lagoon_jobs::fleet::{ExecutorEntry, ExecutorSlot};
use lagoon_jobs::id::{Incarnation, TaskKey};
use lagoon_jobs::job::JobState;
use lagoon_jobs::run::{Listing, RunOutcome};
use lagoon_jobs::spec::StepSpec;

use crate::harness::{Harness, advice_requests, end, entry, listing, recovering, starts, step};

cases! {
    /// Guards against a task on an executor without the label that it requires: the executor has restarted as another kind, and its
    /// entry is still the one of its earlier incarnation.
    an_executor_whose_entry_is_of_an_earlier_incarnation_gets_no_tasks {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        for slot in 0..2 {
            let list = listing_of(2, harness.now, &[]);
            harness.dispatcher.listed(ExecutorSlot::new(slot), &list, harness.now, harness.now);
        }
        harness.submit(1, "urgent", vec![requiring("a"), requiring("b")]);
        harness.submit(2, "advised", vec![requiring("a")]);
        let effects = harness.plan();
        assert!(starts(&effects).is_empty());
        assert!(advice_requests(&effects).is_empty());
        harness.dispatcher.observe(of_kind("e1", "a", 2), harness.now);
        harness.dispatcher.observe(of_kind("e2", "b", 2), harness.now);
        let started = starts(&harness.plan());
        let placed: Vec<(u16, u32)> =
            started.iter().map(|req| (req.task.step().step(), req.slot.get())).collect();
        assert_eq!(placed, [(0, 0), (1, 1)]);
    }

    /// Guards against the same for a gang that holds a reservation there.
    a_gang_waits_for_the_entry_of_a_restarted_executor {
        let mut harness = Harness::with(&[("e1", 4)]);
        harness.submit(1, "urgent", vec![step(1, 2)]);
        harness.start_all();
        harness.submit(2, "urgent", vec![StepSpec { gang: true, ..step(2, 2) }]);
        assert!(starts(&harness.plan()).is_empty());
        let list = listing_of(2, harness.now, &[]);
        harness.dispatcher.listed(ExecutorSlot::new(0), &list, harness.now, harness.now);
        assert!(starts(&harness.plan()).is_empty());
        harness.register("e1", 4, 2);
        assert!(!starts(&harness.plan()).is_empty());
    }

    /// Guards against a task that was placed on an earlier incarnation and is sent to a later one, which may be of another kind.
    a_start_that_was_not_sent_before_the_restart_is_withheld {
        let mut harness = Harness::with(&[("e1", 4)]);
        harness.submit(1, "urgent", vec![requiring("a")]);
        let request = starts(&harness.plan()).remove(0);
        assert!(harness.dispatcher.may_send(&request, harness.now));
        harness.register("e1", 4, 2);
        assert!(!harness.dispatcher.may_send(&request, harness.now));
    }

    /// Guards against an executor whose ends are never taken note of: its clock was put back while it was down, so that its later
    /// incarnation has a lower number.
    an_incarnation_with_a_lower_number_is_a_later_one {
        let mut harness = Harness::with(&[("e1", 4)]);
        let restart = |harness: &mut Harness, number, running: &[(TaskKey, u64)], ended| {
            let sent_at = harness.now;
            harness.advance(10);
            let list = Listing { ended, ..listing_of(number, harness.now, running) };
            harness.dispatcher.listed(ExecutorSlot::new(0), &list, sent_at, harness.now);
            harness.register("e1", 4, number);
        };
        restart(&mut harness, 9, &[], vec![]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = harness.start_all().remove(0);
        harness.advance(10);
        restart(&mut harness, 9, &[(request.task, request.number.get())], vec![]);
        restart(&mut harness, 5, &[], vec![]);
        let again = harness.start_all().remove(0);
        assert_eq!(again.task, request.task);
        let done = end(1, again.task, again.number.get(), RunOutcome::Done);
        restart(&mut harness, 5, &[], vec![done]);
        harness.record_all();
        assert_eq!(harness.state(again.task.job()), JobState::Done);
    }

    /// Guards against an idle executor that stays closed for good after such a restart, because nobody asks it.
    an_entry_with_a_lower_number_causes_a_hold {
        let mut harness = Harness::with(&[("e1", 4)]);
        let slot = ExecutorSlot::new(0);
        harness.register("e1", 4, 9);
        let list = listing_of(9, harness.now, &[]);
        harness.dispatcher.listed(slot, &list, harness.now, harness.now);
        assert!(matches!(harness.dispatcher.next_hold(slot, false, harness.now), HoldAction::Idle));
        harness.register("e1", 4, 5);
        let action = harness.dispatcher.next_hold(slot, false, harness.now);
        assert!(matches!(&action, HoldAction::Hold(req) if req.wait == Millis::ZERO), "{action:?}");
    }

    /// Guards against runs that are lost because a list of an earlier incarnation arrives late, or its entry is read again.
    a_late_list_of_an_earlier_incarnation_is_ignored {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        let early = harness.now;
        harness.advance(10);
        harness.register("e1", 4, 9);
        harness.advance(10);
        harness.dispatcher.listed(ExecutorSlot::new(0), &listing_of(5, harness.now, &[]), harness.now, harness.now);
        harness.register("e1", 4, 5);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = harness.start_all().remove(0);
        harness.advance(10);
        let running = [(request.task, request.number.get())];
        harness.dispatcher.listed(request.slot, &listing_of(5, harness.now, &running), harness.now, harness.now);
        harness.advance(10);
        harness.dispatcher.listed(request.slot, &listing_of(9, harness.now, &[]), early, harness.now);
        harness.register("e1", 4, 5);
        assert!(starts(&harness.plan()).is_empty());
        assert_eq!(harness.state(request.task.job()), JobState::Running);
    }

    /// Guards against a second run beside one that goes on: an entry of another writer with a later number counted as a restart of the
    /// executor, whose own lists were ignored from then on.
    an_entry_of_a_service_that_is_not_configured_ends_no_run {
        let mut harness = Harness::with(&[("e1", 4), ("e2", 4)]);
        harness.submit(1, "urgent", vec![step(1, 4)]);
        let request = harness.start_all().remove(0);
        let running = [(request.task, request.number.get())];
        harness.list(request.slot.get(), &running, vec![]);
        let foreign = ExecutorEntry {
            service: "elsewhere".parse().unwrap(),
            ..of_kind(request.executor.as_str(), "a", 9)
        };
        harness.dispatcher.observe(foreign, harness.now);
        assert!(starts(&harness.plan()).is_empty());
        harness.list(request.slot.get(), &running, vec![]);
        harness.submit(2, "urgent", vec![step(2, 4)]);
        assert_eq!(harness.start_all().len(), 1);
        harness.ended(&request, RunOutcome::Done);
        harness.register(request.executor.as_str(), 4, 1);
        assert_eq!(harness.start_all().len(), 1);
    }

    /// Guards against an executor that a new owner never uses, because it has read such an entry first.
    an_executor_is_used_once_its_own_entry_is_back {
        let mut dispatcher = recovering(2, &[]);
        let now = Timestamp::from_millis(1_000);
        let foreign = ExecutorEntry { service: "elsewhere".parse().unwrap(), ..of_kind("e1", "a", 9) };
        dispatcher.observe(foreign, now);
        dispatcher.listed(ExecutorSlot::new(0), &listing(now, &[], vec![]), now, now);
        let mut harness = Harness::serve(dispatcher);
        harness.submit(1, "urgent", vec![step(1, 1)]);
        assert!(starts(&harness.plan()).is_empty());
        harness.register("e1", 4, 1);
        harness.record_executors();
        harness.list(0, &[], vec![]);
        assert_eq!(starts(&harness.plan()).len(), 1);
    }

    /// Guards against connections for starts that are held back again when an earlier confirmation of the ownership, or an answer to an
    /// earlier request, arrives after a later one.
    an_earlier_confirmation_or_answer_excludes_no_connection {
        let mut harness = Harness::with(&[("e1", 4)]);
        let address = entry("e1", 4).address;
        let early = harness.now;
        harness.advance(100);
        harness.list(0, &[], vec![]);
        let allowed = harness.dispatcher.start_connections(address).unwrap();
        assert!(allowed.established_before > early);
        harness.dispatcher.confirm_ownership(early);
        harness.dispatcher.identified(ExecutorSlot::new(0), Some(Incarnation::new(1)), early, harness.now);
        assert_eq!(harness.dispatcher.start_connections(address), Some(allowed));
    }
}

fn requiring(label: &str) -> StepSpec {
    StepSpec {
        requires: Some(label.parse().unwrap()),
        ..step(1, 1)
    }
}

fn of_kind(id: &str, kind: &str, incarnation: u64) -> ExecutorEntry {
    ExecutorEntry {
        labels: [kind, "r1"]
            .map(|label| label.parse().unwrap())
            .into_iter()
            .collect(),
        incarnation: Some(Incarnation::new(incarnation)),
        ..entry(id, 4)
    }
}

fn listing_of(incarnation: u64, now: Timestamp, running: &[(TaskKey, u64)]) -> Listing {
    Listing {
        incarnation: Some(Incarnation::new(incarnation)),
        ..listing(now, running, vec![])
    }
}
