//! Takeovers after one or all nodes crash or stop, and handovers to stronger nodes.

use std::time::{Duration, Instant};

use lagoon_standin::site::StoreFault;
use serde_json::json;

use crate::cell::Cell;

const JOB: &str = "/plain/00000000000000b1";
/// A job whose tasks are placed by advice.
const ADVISED_JOB: &str = "/advised/00000000000000b2";

cases! {
    /// Guards against runs that are lost or repeated when the owner crashes.
    a_crashed_owner_is_replaced_and_its_runs_continue {
        let mut cell = Cell::start(2, 2).await;
        let owner = cell.owner().await;
        let other = 1 - owner;
        cell.submit_until_accepted(other, JOB, "ms=3500", json!([{"count": 4, "cpu": 1000}, {"count": 4, "cpu": 1000, "after": [0]}])).await;
        cell.wait_for_state(other, JOB, "running").await;
        cell.crash_node(owner);
        cell.wait_for_state(other, JOB, "done").await;
        assert_eq!(cell.site.log().starts().len(), 8);
        cell.assert_no_violations();
    }

    /// Guards against a job that an earlier owner starts because it was stored after a takeover without the later
    /// owner's epoch.
    a_job_names_the_owner_at_the_time_it_is_stored {
        let mut cell = Cell::start(2, 2).await;
        let owner = cell.owner().await;
        let other = 1 - owner;
        let stored_owner_epoch = async |cell: &Cell, number: u64| {
            let id = format!("{number:016x}");
            cell.submit_until_accepted(other, &format!("/plain/{id}"), "ms=9000", json!([{"count": 1, "cpu": 10}])).await;
            cell.site.read(&format!("lagoon/job/{id}")).unwrap()["owner"].as_u64()
        };
        assert_eq!(stored_owner_epoch(&cell, 1).await, Some(1));
        cell.crash_node(owner);
        let mut number = 1;
        let mut epochs = Vec::new();
        while epochs.last() != Some(&Some(2)) {
            number += 1;
            epochs.push(stored_owner_epoch(&cell, number).await);
            assert!(number < 2_000, "no job was stored with the epoch of the later owner: {epochs:?}");
        }
        epochs.dedup();
        assert!([vec![Some(1), None, Some(2)], vec![Some(1), Some(2)]].contains(&epochs), "{epochs:?}");
        cell.assert_no_violations();
    }

    /// Guards against a graceful stop that loses or repeats work.
    a_stopped_owner_hands_over {
        let mut cell = Cell::start(2, 2).await;
        let owner = cell.owner().await;
        let other = 1 - owner;
        cell.submit_until_accepted(owner, JOB, "ms=1500", json!([{"count": 4, "cpu": 1000}])).await;
        cell.wait_for_state(other, JOB, "running").await;
        cell.stop_node(owner).await;
        cell.wait_for_state(other, JOB, "done").await;
        assert_eq!(cell.site.log().starts().len(), 4);
        cell.assert_no_violations();
    }

    /// Guards against an accepted job that is lost when all nodes crash right after the answer.
    an_accepted_job_survives_a_crash_of_all_nodes {
        let mut cell = Cell::start(2, 2).await;
        cell.submit_until_accepted(0, JOB, "ms=300", json!([{"count": 4, "cpu": 1000}])).await;
        cell.crash_node(0);
        cell.crash_node(1);
        cell.add_node().await;
        cell.wait_for_state(2, JOB, "done").await;
        cell.assert_no_violations();
    }

    /// Guards against a job that ended before all nodes crashed and is run again or forgotten afterwards.
    an_ended_job_stays_ended {
        let mut cell = Cell::start(1, 1).await;
        cell.submit_until_accepted(0, JOB, "ms=20", json!([{"count": 2, "cpu": 1000}])).await;
        cell.wait_for_state(0, JOB, "done").await;
        cell.crash_node(0);
        cell.add_node().await;
        cell.owner().await;
        cell.wait_for_state(1, JOB, "done").await;
        assert_eq!(cell.site.log().starts().len(), 2);
        cell.assert_no_violations();
    }

    /// Guards against a cell without placement until a lease expires although its owner has restarted already.
    a_restarted_owner_resumes_at_once {
        let mut cell = Cell::start(0, 1).await;
        cell.store_lease = Duration::from_secs(15);
        cell.add_node().await;
        cell.submit_until_accepted(0, JOB, "ms=300", json!([{"count": 1, "cpu": 1000}, {"count": 1, "cpu": 1000, "after": [0]}])).await;
        cell.wait_for_starts(1).await;
        cell.crash_node(0);
        let crashed = Instant::now();
        cell.restart_node(0).await;
        cell.wait_for_state(0, JOB, "done").await;
        assert!(crashed.elapsed() < cell.store_lease / 2, "{:?}", crashed.elapsed());
        cell.assert_no_violations();
    }

    /// Guards against a cell that keeps a weak owner: after a restart of all nodes, one with a CPU share of 0.12 cores
    /// claimed the cell first, could not keep up with 350 executors, and leases kept expiring.
    a_much_stronger_member_takes_the_cell_over {
        let mut cell = Cell::start(0, 2).await;
        cell.add_node_with_strength(0.12).await;
        assert_eq!(cell.owner().await, 0);
        cell.submit_until_accepted(0, JOB, "ms=5000", json!([{"count": 4, "cpu": 1000}])).await;
        cell.wait_for_starts(4).await;
        cell.add_node_with_strength(0.5).await;
        cell.eventually("the stronger node owns the cell", async |cell: &Cell| {
            cell.site.read("lagoon/cell/owner").is_some_and(|owner| owner["member"] == "m1")
        })
        .await;
        cell.wait_for_state(0, JOB, "done").await;
        assert_eq!(cell.site.log().starts().len(), 4);
        cell.assert_no_violations();
    }

    /// Guards against a second run of tasks on an executor whose entry was removed before the takeover while its runs
    /// continue.
    runs_of_an_executor_that_vanished_from_the_list_are_adopted {
        let mut cell = Cell::start(2, 2).await;
        let owner = cell.owner().await;
        let other = 1 - owner;
        cell.submit_until_accepted(other, JOB, "ms=4000", json!([{"count": 6, "cpu": 1000}])).await;
        cell.wait_for_starts(6).await;
        cell.site.deregister_executor("e0");
        cell.crash_node(owner);
        cell.wait_for_state(other, JOB, "done").await;
        assert_eq!(cell.site.log().starts().len(), 6);
        cell.assert_no_violations();
    }

    /// Guards against a cell that has an owner but is not served: the claim was not answered and took effect later.
    a_claim_that_takes_effect_late_is_followed_by_another {
        let mut cell = Cell::start(0, 1).await;
        cell.add_node_with_strength(0.12).await;
        assert_eq!(cell.owner().await, 0);
        cell.add_node_with_strength(0.5).await;
        let is_owned_by = |cell: &Cell, member: &str| {
            cell.site.read("lagoon/cell/owner").is_some_and(|owner| owner["member"] == member)
        };
        cell.eventually("the stronger node owns the cell", async |cell: &Cell| is_owned_by(cell, "m1")).await;
        cell.submit_until_accepted(0, JOB, "ms=100", json!([{"count": 1, "cpu": 1000}, {"count": 1, "cpu": 1000, "after": [0]}])).await;
        cell.site.set_store_fault(StoreFault::DelayWrites);
        cell.crash_node(1);
        cell.eventually("the other node is named as owner", async |cell: &Cell| is_owned_by(cell, "m0")).await;
        cell.site.set_store_fault(StoreFault::None);
        cell.wait_for_state(0, JOB, "done").await;
        cell.assert_no_violations();
    }

    /// Guards against a second run beside one that an earlier owner starts on an executor that has restarted after it had listed its runs
    /// to the later owner, and so has forgotten its fence.
    an_earlier_owner_starts_nothing_on_an_executor_that_restarted_after_the_takeover {
        let mut cell = Cell::start(0, 2).await;
        let store = cell.site.add_store_listener().await.unwrap();
        cell.add_node_with_store(store.address()).await;
        assert_eq!(cell.owner().await, 0);
        cell.add_node().await;
        cell.site.set_adviser_delay(Duration::from_millis(600));
        cell.submit_until_accepted(0, ADVISED_JOB, "ms=3000", json!([{"count": 1, "cpu": 1000}])).await;
        // The earlier owner asks the adviser about the executor, which later loses its connection to the store.
        tokio::time::sleep(Duration::from_millis(50)).await;
        store.set_silent(true);
        cell.site.deregister_executor("e1");
        cell.site.start_executor("e3", 4_000).await.unwrap();
        cell.site.remove_key("lagoon/cell/owner");
        cell.eventually("the later owner has fenced the executor", async |cell: &Cell| cell.site.fence("e1") == 2).await;
        cell.site.restart_executor_behind_a_cut("e1", 4_000, "a").await.unwrap();
        cell.wait_for_starts(1).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let starts = cell.site.log().starts();
        assert_eq!(starts.len(), 1, "{starts:?}");
        cell.assert_no_violations();
    }

    /// Guards against a handover without a real gain; each one interrupts placement for about 0.5 s.
    a_slightly_stronger_member_does_not_take_over {
        let mut cell = Cell::start(0, 1).await;
        cell.add_node_with_strength(0.3).await;
        assert_eq!(cell.owner().await, 0);
        cell.add_node_with_strength(0.5).await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        assert_eq!(cell.owner().await, 0);
    }
}
