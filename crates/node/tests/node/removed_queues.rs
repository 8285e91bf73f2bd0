//! Tests of accepted jobs whose queue the operators remove.

use serde_json::json;

use crate::cell::Cell;

const JOB: &str = "/plain/00000000000000a1";

cases! {
    /// Guards against accepted jobs whose later steps never start because the operators remove their queue meanwhile.
    an_accepted_job_of_a_removed_queue_runs_to_its_end {
        let cell = Cell::start(2, 2).await;
        let steps = json!([{"count": 2, "cpu": 1000}, {"count": 2, "cpu": 1000, "after": [0]}]);
        cell.submit_until_accepted(0, JOB, "ms=1500", steps).await;
        cell.wait_for_starts(2).await;
        cell.site.configure(2, &["advised"]);
        cell.wait_for_starts(4).await;
        cell.assert_no_violations();
    }

    /// Guards against the same after a restart of all nodes, none of which has known the queue.
    a_new_owner_runs_a_job_of_a_removed_queue {
        let mut cell = Cell::start(1, 1).await;
        let steps = json!([{"count": 1, "cpu": 1000}, {"count": 1, "cpu": 1000, "after": [0]}]);
        cell.submit_until_accepted(0, JOB, "ms=3000", steps).await;
        cell.wait_for_starts(1).await;
        cell.crash_node(0);
        cell.site.configure(2, &["advised"]);
        cell.add_node().await;
        cell.wait_for_starts(2).await;
        cell.assert_no_violations();
    }
}
