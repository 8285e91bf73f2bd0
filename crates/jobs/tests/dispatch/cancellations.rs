//! Tests of cancellations of jobs that the owner does not know.

use lagoon_core::unit::Timestamp;
use lagoon_jobs::id::JobId;
use lagoon_jobs::job::{JobState, Progress};
use lagoon_jobs::record::RecordLane;

use crate::harness::{Harness, job_id, listing, record, recovering, starts, step};

/// Returns the jobs in all lanes whose cancellation may be removed from the store.
fn expired(harness: &Harness) -> Vec<JobId> {
    let lanes = RecordLane::all();
    lanes
        .flat_map(|lane| {
            harness
                .dispatcher
                .expired_cancellations(lane, 100, harness.now)
        })
        .collect()
}

cases! {
    /// Guards against a cancelled job that runs because its cancellation was observed before the job.
    a_job_whose_cancellation_is_known_does_not_start {
        let mut harness = Harness::with(&[("e1", 8)]);
        harness.dispatcher.cancel(job_id(1), harness.now);
        harness.submit(1, "urgent", vec![step(1, 1)]);
        assert!(starts(&harness.plan()).is_empty());
        harness.record_all();
        assert_eq!(harness.state(job_id(1)), JobState::Cancelled);
        harness.advance(31_000);
        assert_eq!(expired(&harness), []);
    }

    /// Guards against cancellations of jobs that never arrive and stay in the store for good.
    a_cancellation_of_a_job_that_never_arrives_expires {
        let mut harness = Harness::with(&[("e1", 8)]);
        harness.dispatcher.cancel(job_id(1), harness.now);
        harness.advance(20_000);
        assert_eq!(expired(&harness), []);
        harness.advance(11_000);
        assert_eq!(expired(&harness), [job_id(1)]);
        harness.dispatcher.forget_cancellations(&[job_id(1)]);
        assert_eq!(expired(&harness), []);
    }

    /// Guards against a cancellation that is removed too early because it was recorded a second time.
    a_repeated_cancellation_is_kept_longer {
        let mut harness = Harness::with(&[("e1", 8)]);
        harness.dispatcher.cancel(job_id(1), harness.now);
        harness.advance(20_000);
        harness.dispatcher.cancel(job_id(1), harness.now);
        harness.advance(20_000);
        assert_eq!(expired(&harness), []);
    }

    /// Guards against cancellations that stay in the store for good because their owner was lost.
    a_later_owner_removes_cancellations {
        let mut dispatcher = recovering(2, &[("e1", 8)]);
        let now = Timestamp::from_millis(1_000);
        dispatcher.load(job_id(2), record("urgent", vec![step(1, 1)]), &Progress::default(), now);
        dispatcher.cancel(job_id(1), now);
        dispatcher.cancel(job_id(2), now);
        dispatcher.listed(lagoon_jobs::fleet::ExecutorSlot::new(0), &listing(now, &[], vec![]), now, now);
        let mut harness = Harness::serve(dispatcher);
        harness.advance(31_000);
        assert_eq!(expired(&harness), [job_id(1)]);
    }
}
