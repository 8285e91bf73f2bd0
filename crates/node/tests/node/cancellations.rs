//! Tests of cancellations of jobs that are not in the store.

use std::time::Duration;

use futures_util::future::join_all;
use hyper::Method;
use serde_json::json;

use crate::cell::Cell;

const JOB: &str = "/plain/00000000000000c1";
const JOB_KEY: &str = "lagoon/job/00000000000000c1";
const CANCELLATION_KEY: &str = "lagoon/job/00000000000000c1.cancelled";
/// Time after which the store executes a write that it did not answer; longer than the time-out of the caller's node.
const WRITE_DELAY: Duration = Duration::from_millis(2_500);

async fn cancel(cell: &Cell, node: usize, path: &str) -> u16 {
    cell.call(node, Method::DELETE, path, None).await.0
}

cases! {
    /// Guards against a job that runs although its cancellation was acknowledged: its write was not answered, and takes effect only
    /// after the cancellation.
    a_cancelled_job_whose_write_is_late_does_not_run {
        let cell = Cell::start(2, 1).await;
        cell.owner().await;
        cell.site.delay_write(JOB_KEY, WRITE_DELAY);
        let steps = json!([{"count": 1, "cpu": 1000}]);
        let status = cell.submit(0, JOB, steps).await;
        assert!(matches!(status, 0 | 504), "{status}");
        assert_eq!(cancel(&cell, 1, JOB).await, 410);
        tokio::time::sleep(WRITE_DELAY).await;
        assert_eq!(cell.state(0, JOB).await, "410");
        assert_eq!(cell.site.log().starts().len(), 0);
    }

    /// Guards against the same while another submission of the job, sent before the cancellation, is still under way at another node.
    a_cancelled_job_that_is_submitted_again_does_not_run {
        let cell = Cell::start(2, 1).await;
        cell.owner().await;
        let steps = json!([{"count": 1, "cpu": 1000}]);
        assert_eq!(cancel(&cell, 0, JOB).await, 410);
        for node in 0..2 {
            assert_eq!(cell.submit(node, JOB, steps.clone()).await, 503);
        }
        assert_eq!(cell.state(0, JOB).await, "410");
        assert_eq!(cell.site.log().starts().len(), 0);
    }

    /// Guards against an acknowledged cancellation that a store out of reach has not recorded.
    a_cancellation_without_an_answer_is_not_acknowledged {
        let cell = Cell::start(1, 1).await;
        cell.owner().await;
        cell.site.delay_write(CANCELLATION_KEY, WRITE_DELAY);
        let status = cancel(&cell, 0, JOB).await;
        assert!(matches!(status, 0 | 504), "{status}");
    }

    /// Guards against a store that fills with cancellations of made-up ids, and against writes that these take from other calls.
    cancellations_of_unknown_jobs_are_limited {
        let cell = Cell::start(1, 1).await;
        cell.owner().await;
        let cancel = async |number| cancel(&cell, 0, &format!("/plain/{number:016x}")).await;
        let statuses = join_all((0..100).map(cancel)).await;
        let recorded = statuses.iter().filter(|status| **status == 410).count();
        assert!(statuses.iter().all(|status| [410, 429].contains(status)), "{statuses:?}");
        assert!(recorded < 100, "{statuses:?}");
        let keys = cell.site.keys("lagoon/job/");
        assert_eq!(keys.len(), recorded);
    }

    /// Guards against cancellations of jobs that never arrive and stay in the store for good.
    the_cancellation_of_a_job_that_never_arrives_is_removed {
        let cell = Cell::start(1, 1).await;
        cell.owner().await;
        assert_eq!(cancel(&cell, 0, JOB).await, 410);
        assert_eq!(cell.site.keys("lagoon/job/"), [CANCELLATION_KEY]);
        tokio::time::sleep(Duration::from_secs(28)).await;
        assert_eq!(cell.site.keys("lagoon/job/"), [CANCELLATION_KEY]);
        cell.eventually("the cancellation is removed", async |cell: &Cell| cell.site.keys("lagoon/job/").is_empty()).await;
    }
}
