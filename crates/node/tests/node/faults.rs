//! Faults of executors and of the store.

use std::time::{Duration, Instant};

use lagoon_standin::site::StoreFault;
use serde_json::json;

use crate::cell::Cell;

const JOB: &str = "/plain/00000000000000c1";

cases! {
    /// Guards against tasks that are lost with their executor, or started elsewhere before their lease has expired.
    runs_of_a_crashed_executor_start_again {
        let mut cell = Cell::start(1, 2).await;
        cell.submit_until_accepted(0, JOB, "ms=1500", json!([{"count": 8, "cpu": 1000}])).await;
        cell.wait_for_starts(8).await;
        cell.site.crash_executor("e0").await;
        cell.site.deregister_executor("e0");
        cell.wait_for_state(0, JOB, "done").await;
        cell.assert_no_violations();
    }

    /// Guards against work that waits 5 s for a lease to expire although another executor has taken over the address.
    runs_of_an_executor_whose_address_is_taken_start_again_at_once {
        let mut cell = Cell::start(1, 1).await;
        cell.submit_until_accepted(0, JOB, "ms=800", json!([{"count": 4, "cpu": 1000}])).await;
        cell.wait_for_starts(4).await;
        cell.site.replace_executor("e0", "e1", 4_000).await.unwrap();
        let replaced = Instant::now();
        cell.wait_for_starts(8).await;
        assert!(replaced.elapsed() < Duration::from_secs(3), "{:?}", replaced.elapsed());
        cell.wait_for_state(0, JOB, "done").await;
        cell.assert_no_violations();
    }

    /// Guards against waiting for the earlier runs of a restarted executor.
    runs_of_a_restarted_executor_start_again {
        let mut cell = Cell::start(1, 1).await;
        cell.submit_until_accepted(0, JOB, "ms=800", json!([{"count": 4, "cpu": 1000}])).await;
        cell.wait_for_starts(4).await;
        cell.site.start_executor("e0", 4_000).await.unwrap();
        cell.wait_for_state(0, JOB, "done").await;
        cell.assert_no_violations();
    }

    /// Guards against jobs that do not finish while the store commits writes but loses the answers.
    jobs_end_while_answers_to_writes_are_lost {
        let cell = Cell::start(1, 1).await;
        cell.submit_until_accepted(0, JOB, "ms=600", json!([{"count": 4, "cpu": 1000}, {"count": 1, "cpu": 1000, "after": [0]}])).await;
        cell.wait_for_starts(4).await;
        cell.site.set_store_fault(StoreFault::DropWriteResponses);
        cell.wait_for_state(0, JOB, "done").await;
        cell.site.set_store_fault(StoreFault::None);
        assert_eq!(cell.site.log().starts().len(), 5);
        cell.assert_no_violations();
    }

    /// Guards against work that a later owner delays for departed executors because the write that should have removed their
    /// records failed.
    records_of_executors_that_left_are_removed_after_a_failed_write {
        let mut cell = Cell::start(0, 5).await;
        cell.store_lease = Duration::from_secs(15);
        cell.add_node().await;
        let wait_for_records = async |cell: &Cell, count: usize| {
            let description = format!("{count} executors are recorded");
            cell.eventually(&description, async |cell: &Cell| cell.site.keys("lagoon/executor/").len() == count).await;
        };
        wait_for_records(&cell, 5).await;
        for departed in [["e1", "e2"], ["e3", "e4"]] {
            departed.iter().for_each(|id| cell.site.deregister_executor(id));
            tokio::time::sleep(Duration::from_millis(30)).await;
            cell.site.set_store_fault(StoreFault::Unavailable);
            tokio::time::sleep(Duration::from_millis(700)).await;
            cell.site.set_store_fault(StoreFault::None);
        }
        wait_for_records(&cell, 1).await;
    }

    /// Guards against a false refusal: a submission whose write was not answered may be stored.
    a_lost_answer_is_no_refusal {
        let cell = Cell::start(1, 1).await;
        cell.owner().await;
        cell.site.set_store_fault(StoreFault::DropResponses);
        let steps = json!([{"count": 1, "cpu": 1000}]);
        let status = cell.submit(0, JOB, steps.clone()).await;
        assert!(matches!(status, 0 | 504), "{status}");
        cell.site.set_store_fault(StoreFault::None);
        cell.submit_until_accepted(0, JOB, "ms=60", steps).await;
        cell.wait_for_state(0, JOB, "done").await;
        assert_eq!(cell.site.log().starts().len(), 1);
        cell.assert_no_violations();
    }

    /// Guards against a job that runs although its submission was refused.
    a_refused_job_does_not_run {
        let cell = Cell::start(1, 1).await;
        cell.owner().await;
        cell.site.set_store_fault(StoreFault::Unavailable);
        assert_eq!(cell.submit(0, JOB, json!([{"count": 1, "cpu": 1000}])).await, 503);
        cell.site.set_store_fault(StoreFault::None);
        cell.owner().await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(cell.state(0, JOB).await, "410");
        assert!(cell.site.log().starts().is_empty());
    }

    /// Guards against runs that are lost because the store is unavailable for a few seconds.
    runs_outlast_an_outage_of_the_store {
        let cell = Cell::start(1, 1).await;
        cell.submit_until_accepted(0, JOB, "ms=6000", json!([{"count": 2, "cpu": 1000}])).await;
        cell.wait_for_state(0, JOB, "running").await;
        cell.site.set_store_fault(StoreFault::Unavailable);
        tokio::time::sleep(Duration::from_millis(4_500)).await;
        cell.site.set_store_fault(StoreFault::None);
        cell.wait_for_state(0, JOB, "done").await;
        assert_eq!(cell.site.log().starts().len(), 2);
        cell.assert_no_violations();
    }

    /// Guards against refusals by a node that cannot reach the store although other nodes can.
    a_node_that_is_turned_away_forwards_its_jobs {
        let mut cell = Cell::start(1, 1).await;
        let store_listener = cell.site.add_store_listener().await.unwrap();
        cell.add_node_with_store(store_listener.address()).await;
        cell.owner().await;
        store_listener.set_unavailable(true);
        assert_eq!(cell.submit(1, JOB, json!([{"count": 1, "cpu": 1000}])).await, 200);
        cell.wait_for_state(0, JOB, "done").await;
        assert_eq!(cell.site.log().starts().len(), 1);
    }

    /// Guards against a node that knows only an earlier owner because it could not reach the store during a takeover:
    /// it would neither return states nor accept cancellations.
    a_node_that_is_turned_away_learns_the_owner_from_others {
        let mut cell = Cell::start(1, 2).await;
        assert_eq!(cell.owner().await, 0);
        let store_listener = cell.site.add_store_listener().await.unwrap();
        cell.add_node_with_store(store_listener.address()).await;
        cell.add_node().await;
        cell.eventually("node 1 knows the owner and all members", async |cell: &Cell| {
            let (_, view) = cell.inspect(1, "/v1/cell").await;
            view["owner"]["member"] == "m0" && view["members"].as_array().is_some_and(|known| known.len() == 3)
        })
        .await;
        assert_eq!(cell.owner().await, 0);
        store_listener.set_unavailable(true);
        cell.crash_node(0);
        cell.eventually("another node owns the cell", async |cell: &Cell| {
            cell.site.read("lagoon/cell/owner").is_some_and(|owner| owner["member"] == "m2")
        })
        .await;
        cell.submit_until_accepted(1, JOB, "ms=20000", json!([{"count": 1, "cpu": 1000}])).await;
        cell.wait_for_state(1, JOB, "running").await;
        cell.eventually("the cancellation is recorded", async |cell: &Cell| {
            cell.call(1, hyper::Method::DELETE, JOB, None).await.0 == 200
        })
        .await;
        cell.wait_for_state(1, JOB, "cancelled").await;
        cell.assert_no_violations();
    }

    /// Guards against jobs that are missed because the store dropped the history that a watch needs.
    jobs_are_seen_after_the_store_drops_its_history {
        let cell = Cell::start(1, 1).await;
        cell.owner().await;
        cell.site.compact_history();
        cell.submit_until_accepted(0, JOB, "ms=60", json!([{"count": 1, "cpu": 1000}])).await;
        cell.wait_for_state(0, JOB, "done").await;
        cell.assert_no_violations();
    }
}
