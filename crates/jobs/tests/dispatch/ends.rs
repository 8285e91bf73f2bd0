//! Tests of ends that reach the owner late, because the executor lists them in pages or other ends come first.

use lagoon_core::unit::{Millis, Timestamp};
use lagoon_jobs::dispatch::{HoldAction, StoredJob};
use lagoon_jobs::fleet::ExecutorSlot;
use lagoon_jobs::id::{StepKey, TaskKey};
use lagoon_jobs::job::{JobState, Progress};
use lagoon_jobs::record::RecordLane;
use lagoon_jobs::run::{EndedRun, Listing, RunOutcome, StartOutcome};

use crate::harness::{
    Harness, end, job_id, limits, listing, record, recovering, starts, step, stops,
};

/// Number of a job that the owner does not know yet.
const UNKNOWN: u64 = 9;

cases! {
    /// Guards against a second run of a task whose end is listed after the end of an unknown job.
    an_end_after_one_of_an_unknown_job_counts {
        let mut harness = Harness::with(&[("e1", 8)]);
        let id = harness.submit(1, "urgent", vec![step(1, 1)]);
        let request = harness.start_all().remove(0);
        let ends = vec![done(1, UNKNOWN, 1), done(2, 1, request.number.get())];
        harness.list(0, &[], ends.clone());
        assert!(starts(&harness.plan()).is_empty());
        harness.record_all();
        assert_eq!(harness.state(id), JobState::Done);
        assert_eq!(harness.acknowledged(0).unwrap_or(0), 0);
        harness.submit(UNKNOWN, "urgent", vec![step(1, 1)]);
        harness.list(0, &[], ends);
        assert!(starts(&harness.plan()).is_empty());
        harness.record_all();
        assert_eq!(harness.acknowledged(0), Some(2));
    }

    /// Guards against a second run of an inherited task whose end is listed after the end of an unknown job.
    an_inherited_end_after_one_of_an_unknown_job_counts {
        let now = Timestamp::from_millis(1_000);
        let mut dispatcher = recovering(2, &[("e1", 8)]);
        dispatcher.load(job_id(1), record("urgent", vec![step(1, 1)]), &Progress::default(), now);
        let ends = vec![done(1, UNKNOWN, 1), done(2, 1, 1)];
        dispatcher.listed(ExecutorSlot::new(0), &listing(now, &[], ends), now, now);
        let mut harness = Harness::serve(dispatcher);
        assert!(starts(&harness.plan()).is_empty());
        harness.record_all();
        assert_eq!(harness.state(job_id(1)), JobState::Done);
    }

    /// Guards against acknowledging the end of an unknown job before the store has answered for the job, which would
    /// then run again.
    an_end_of_an_unknown_job_is_deferred_until_the_job_is_known {
        let mut harness = Harness::with(&[("e1", 8)]);
        let ends = vec![done(1, UNKNOWN, 1)];
        harness.list(0, &[], ends.clone());
        harness.advance(20_000);
        harness.list(0, &[], ends.clone());
        assert_eq!(harness.acknowledged(0).unwrap_or(0), 0);
        let id = harness.submit(UNKNOWN, "urgent", vec![step(1, 1)]);
        harness.list(0, &[], ends);
        assert!(starts(&harness.plan()).is_empty());
        harness.record_all();
        assert_eq!(harness.state(id), JobState::Done);
    }

    /// Guards against holds that are repeated without a pause: the executor answers at once while it lists an end that
    /// can't be acknowledged.
    a_hold_that_acknowledges_nothing_is_not_repeated_at_once {
        let mut harness = Harness::with(&[("e1", 8)]);
        harness.submit(1, "urgent", vec![step(2, 1)]);
        let started = harness.start_all();
        let running: Vec<_> = started.iter().map(|request| (request.task, request.number.get())).collect();
        harness.list(0, &running, vec![done(1, UNKNOWN, 1)]);
        let slot = ExecutorSlot::new(0);
        assert!(matches!(harness.dispatcher.next_hold(slot, false, harness.now), HoldAction::AwaitRecord));
        assert!(matches!(harness.dispatcher.next_hold(slot, true, harness.now), HoldAction::Hold(_)));
    }

    /// Guards against holds that are repeated without a pause: the hold that acknowledged an end was lost, and while a
    /// start is unanswered the next ones acknowledge nothing.
    a_hold_after_a_lost_acknowledgement_is_not_repeated_at_once {
        let mut harness = Harness::with(&[("e1", 8)]);
        let slot = ExecutorSlot::new(0);
        let ended = lose_acknowledgement(&mut harness);
        harness.list(0, &[], vec![ended]);
        harness.submit(2, "urgent", vec![step(1, 1)]);
        assert_eq!(starts(&harness.plan()).len(), 1);
        let next = harness.dispatcher.next_hold(slot, false, harness.now);
        assert!(matches!(next, HoldAction::AwaitRecord), "{next:?}");
    }

    /// Guards against an end that an idle executor lists forever because the hold that acknowledged it was lost.
    a_lost_acknowledgement_is_sent_again {
        let mut harness = Harness::with(&[("e1", 8)]);
        let ended = lose_acknowledgement(&mut harness);
        assert_eq!(harness.acknowledged(0), Some(0));
        harness.list(0, &[], vec![ended]);
        assert_eq!(harness.acknowledged(0), Some(1));
    }

    /// Guards against ends that are never acknowledged because the job of one was forgotten while an earlier end was
    /// deferred.
    an_end_of_a_forgotten_job_is_acknowledged {
        let mut harness = Harness::with(&[("e1", 8)]);
        harness.submit(1, "urgent", vec![step(1, 1)]);
        let request = harness.start_all().remove(0);
        harness.list(0, &[], vec![done(1, UNKNOWN, 1), done(2, 1, request.number.get())]);
        harness.record_all();
        harness.advance(limits().retention.get() + 1_000);
        let lanes = RecordLane::all();
        let expired: Vec<_> = lanes.flat_map(|lane| harness.dispatcher.expired(lane, 8, harness.now)).collect();
        assert_eq!(expired, [job_id(1)]);
        harness.dispatcher.forget(&expired);
        harness.dispatcher.job_looked_up(job_id(UNKNOWN), StoredJob::Absent, harness.now);
        assert_eq!(harness.acknowledged(0), Some(2));
    }

    /// Guards against ends that are never acknowledged because the next page contains the end of a run whose start was
    /// not answered.
    an_end_on_the_next_page_does_not_block_acknowledgements {
        let mut harness = Harness::with(&[("e1", 8)]);
        harness.submit(1, "urgent", vec![step(2, 1)]);
        let requests = starts(&harness.plan());
        for (request, outcome) in requests.iter().zip([StartOutcome::Started { executor_ms: None }, StartOutcome::Unknown { connection_age: None }]) {
            harness.dispatcher.started(request, outcome, harness.now);
        }
        harness.submit(2, "urgent", vec![step(1, 9)]);
        harness.advance(1);
        let ended = end(1, task(2), 1, RunOutcome::Failed);
        let page = |now| Listing { complete: false, ..listing(now, &[], vec![ended.clone()]) };
        harness.dispatcher.listed(ExecutorSlot::new(0), &page(harness.now), harness.now, harness.now);
        let stop = stops(&harness.plan()).remove(0);
        harness.dispatcher.stop_confirmed(&stop, harness.now);
        harness.advance(1);
        harness.dispatcher.listed(ExecutorSlot::new(0), &page(harness.now), harness.now, harness.now);
        harness.record_all();
        assert_eq!(harness.acknowledged(0), Some(1));
    }

    /// Guards against inherited work that waits forever for an executor that became unresponsive after the first page
    /// of its ends.
    inherited_work_waits_no_longer_than_a_lease {
        let now = Timestamp::from_millis(1_000);
        let mut dispatcher = recovering(2, &[("e1", 8), ("e2", 8)]);
        dispatcher.load(job_id(1), record("urgent", vec![step(1, 1)]), &Progress::default(), now);
        let first_page = Listing {
            complete: false,
            ..listing(now, &[], vec![done(1, 2, 1)])
        };
        dispatcher.listed(ExecutorSlot::new(0), &first_page, now, now);
        dispatcher.listed(ExecutorSlot::new(1), &listing(now, &[], vec![]), now, now);
        let mut harness = Harness::serve(dispatcher);
        harness.dispatcher.hold_failed(ExecutorSlot::new(0), harness.now);
        assert!(starts(&harness.plan()).is_empty());
        harness.advance(9_250);
        assert_eq!(starts(&harness.plan()).len(), 1);
    }

    /// Guards against a second run of an inherited task whose end is on a later page of the executor's first list.
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
        let mut harness = Harness::serve(dispatcher);
        assert!(starts(&harness.plan()).is_empty());
        harness.record_all();
        for _ in 0..5 {
            harness.advance(3_000);
            let _ = harness.dispatcher.next_hold(ExecutorSlot::new(0), true, harness.now);
            assert!(starts(&harness.plan()).is_empty());
        }
        let action = harness.dispatcher.next_hold(ExecutorSlot::new(0), true, harness.now);
        let HoldAction::Hold(req) = action else {
            panic!("the next page is not requested: {action:?}");
        };
        assert_eq!((req.acknowledged, req.wait), (1, Millis::ZERO));
        harness.list(0, &[], vec![done(2, 2, 1)]);
        assert!(starts(&harness.plan()).is_empty());
        harness.record_all();
        assert_eq!(harness.state(job_id(2)), JobState::Done);
    }
}

/// Ends a task and loses the hold that acknowledges the end. Returns the end.
fn lose_acknowledgement(harness: &mut Harness) -> EndedRun {
    harness.submit(1, "urgent", vec![step(1, 1)]);
    let request = harness.start_all().remove(0);
    harness.ended(&request, RunOutcome::Done);
    harness.record_all();
    assert_eq!(harness.acknowledged(0), Some(1));
    harness.dispatcher.hold_failed(request.slot, harness.now);
    done(1, 1, request.number.get())
}

fn done(sequence: u64, job: u64, number: u64) -> EndedRun {
    end(sequence, task(job), number, RunOutcome::Done)
}

fn task(job: u64) -> TaskKey {
    StepKey::new(job_id(job), 0, 0).task(0)
}
