//! Long-running tasks whose executor is lost together with the owner.

use std::time::Duration;

use serde_json::json;
use tokio::time::Instant;

use crate::cell::Cell;

const JOB: &str = "/plain/00000000000000e1";

/// Time after the loss of its executor by which the users expect a long-running task to run again: the loss counts as a
/// disruption for 4.5 s, and after 4 s of calm it may have no run for 3 s.
const LONGEST_ABSENCE: Duration = Duration::from_millis(11_500);

cases! {
    /// Guards against a lost long-running task that waits for 14 s after a takeover, although its run can't go on in the
    /// incarnation of the executor that the earlier owner knew.
    a_lost_task_runs_again_soon_after_a_takeover {
        let mut cell = Cell::start(0, 3).await;
        cell.max_lease = Duration::from_secs(10);
        cell.add_node().await;
        cell.add_node().await;
        let owner = cell.owner().await;
        let steps = json!([{"count": 2, "cpu": 1000, "spread": 1, "long_running": true}]);
        cell.submit_until_accepted(1 - owner, JOB, "ms=600000", steps).await;
        cell.wait_for_starts(2).await;
        // Executors list their runs every 1.5 s; what they list is stored soon after.
        tokio::time::sleep(Duration::from_secs(4)).await;
        let lost = cell.site.log().starts()[0].executor.clone();
        cell.site.crash_executor(&lost).await;
        cell.crash_node(owner);
        let crashed = Instant::now();
        cell.wait_for_starts(3).await;
        assert!(crashed.elapsed() < LONGEST_ABSENCE, "{:?}", crashed.elapsed());
        let starts = cell.site.log().starts();
        assert_eq!(starts[2].task, starts[0].task);
        cell.assert_no_violations();
    }
}
