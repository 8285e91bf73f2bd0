//! Nodes that crash or stop, alone or all at once.

use serde_json::json;

use crate::cell::Cell;

const JOB: &str = "/plain/00000000000000b1";

cases! {
    /// Guards against work that is lost, or run twice, when the owner crashes while it runs.
    a_crashed_owner_is_replaced_and_its_runs_go_on {
        let mut cell = Cell::start(2, 2).await;
        let owner = cell.owner().await;
        let other = 1 - owner;
        cell.submit_until_accepted(other, JOB, "ms=3500", json!([{"count": 4, "cpu": 1000}, {"count": 4, "cpu": 1000, "after": [0]}])).await;
        cell.wait_for_state(other, JOB, "running").await;
        cell.crash_node(owner);
        cell.wait_for_state(other, JOB, "done").await;
        assert_eq!(cell.site.log().starts().len(), 8);
        cell.check();
    }

    /// Guards against a planned stop that loses or repeats work.
    a_stopped_owner_hands_over {
        let mut cell = Cell::start(2, 2).await;
        let owner = cell.owner().await;
        let other = 1 - owner;
        cell.submit_until_accepted(owner, JOB, "ms=1500", json!([{"count": 4, "cpu": 1000}])).await;
        cell.wait_for_state(other, JOB, "running").await;
        cell.stop_node(owner).await;
        cell.wait_for_state(other, JOB, "done").await;
        assert_eq!(cell.site.log().starts().len(), 4);
        cell.check();
    }

    /// Guards against an accepted job that is lost when every node dies right after the answer.
    a_job_survives_all_nodes {
        let mut cell = Cell::start(2, 2).await;
        cell.submit_until_accepted(0, JOB, "ms=300", json!([{"count": 4, "cpu": 1000}])).await;
        cell.crash_node(0);
        cell.crash_node(1);
        cell.add_node().await;
        cell.wait_for_state(2, JOB, "done").await;
        cell.check();
    }

    /// Guards against a job that ended before all nodes died and is run again, or forgotten, afterwards.
    an_ended_job_stays_ended {
        let mut cell = Cell::start(1, 1).await;
        cell.submit_until_accepted(0, JOB, "ms=20", json!([{"count": 2, "cpu": 1000}])).await;
        cell.wait_for_state(0, JOB, "done").await;
        cell.crash_node(0);
        cell.add_node().await;
        cell.owner().await;
        cell.wait_for_state(1, JOB, "done").await;
        assert_eq!(cell.site.log().starts().len(), 2);
        cell.check();
    }
}
