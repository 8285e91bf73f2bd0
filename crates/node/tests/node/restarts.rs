//! Executors that restart while they can't reach the store.

use std::time::Duration;

use serde_json::json;

use crate::cell::Cell;

const JOB: &str = "/plain/00000000000000e1";
const NEXT_JOB: &str = "/plain/00000000000000e2";

/// Returns the executors on which tasks have started.
fn used(cell: &Cell) -> Vec<String> {
    let starts = cell.site.log().starts();
    starts.into_iter().map(|run| run.executor).collect()
}

cases! {
    /// Guards against a start on an executor without the label that its step requires: the idle executor has restarted as another kind,
    /// and nobody has asked it since.
    an_idle_executor_that_restarted_as_another_kind_gets_no_task {
        let mut cell = Cell::start(1, 2).await;
        cell.owner().await;
        let steps = json!([{"count": 1, "cpu": 1000, "requires": "a"}]);
        cell.submit_until_accepted(0, JOB, "ms=50", steps.clone()).await;
        cell.wait_for_state(0, JOB, "done").await;
        assert_eq!(used(&cell), ["e0"]);
        cell.site.restart_executor_behind_a_cut("e0", 4_000, "b").await.unwrap();
        cell.submit_until_accepted(0, NEXT_JOB, "ms=50", steps).await;
        cell.wait_for_state(0, NEXT_JOB, "done").await;
        assert_eq!(used(&cell), ["e0", "e1"]);
        cell.assert_no_violations();
    }

    /// Guards against an executor that gets no tasks any more after it has restarted and reached the store again.
    an_executor_that_is_registered_again_gets_tasks {
        let mut cell = Cell::start(1, 1).await;
        cell.owner().await;
        let steps = json!([{"count": 1, "cpu": 1000}]);
        cell.submit_until_accepted(0, JOB, "ms=50", steps.clone()).await;
        cell.wait_for_state(0, JOB, "done").await;
        cell.site.restart_executor_behind_a_cut("e0", 4_000, "a").await.unwrap();
        cell.submit_until_accepted(0, NEXT_JOB, "ms=50", steps).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(used(&cell).len(), 1);
        let entry = cell.site.entry("e0");
        cell.site.write_entry("e0", entry.to_string().as_bytes());
        cell.wait_for_state(0, NEXT_JOB, "done").await;
        assert_eq!(used(&cell).len(), 2);
    }
}
