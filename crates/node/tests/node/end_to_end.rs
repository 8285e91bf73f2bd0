//! Submission, placement, states, counts and cancellation of jobs without faults.

use std::time::Duration;

use hyper::Method;
use serde_json::json;

use crate::cell::Cell;

const JOB: &str = "/plain/00000000000000a1";

cases! {
    /// Guards against a submitted job that does not run to its end, or is not shown as done on every node.
    a_job_runs_and_is_shown_as_done_everywhere {
        let cell = Cell::start(2, 2).await;
        let steps = json!([{"count": 3, "cpu": 1000}, {"count": 2, "cpu": 1000, "gang": true, "after": [0]}]);
        assert_eq!(cell.submit(0, JOB, steps.clone()).await, 200);
        for node in 0..2 {
            cell.wait_for_state(node, JOB, "done").await;
        }
        assert_eq!(cell.submit(1, JOB, steps).await, 200);
        assert_eq!(cell.site.log().starts().len(), 5);
        cell.assert_no_violations();
    }

    /// Guards against starts without the adviser's approval, and advice that is never requested.
    an_advised_job_runs_on_good_executors {
        let cell = Cell::start(2, 4).await;
        let path = "/advised/00000000000000a2";
        assert_eq!(cell.submit(0, path, json!([{"count": 4, "cpu": 1000, "gang": true}])).await, 200);
        cell.wait_for_state(0, path, "done").await;
        let starts = cell.site.log().starts();
        // The stand-in's adviser approves executors by the sum of the bytes of their ids.
        let is_good = |id: &str| id.bytes().map(u32::from).sum::<u32>() % 2 == 0;
        assert!(starts.iter().all(|entry| is_good(&entry.executor)));
        cell.assert_no_violations();
    }

    /// Guards against a task with more attempts than its queue allows, and a failure that is not reported.
    a_job_fails_after_three_attempts {
        let cell = Cell::start(1, 2).await;
        cell.submit_until_accepted(0, JOB, "ms=20 fail", json!([{"count": 1, "cpu": 1000}])).await;
        cell.wait_for_state(0, JOB, "failed").await;
        assert_eq!(cell.site.log().starts().len(), 3);
        cell.assert_no_violations();
    }

    /// Guards against a cancelled job that keeps running, and a successful cancellation of a job that does not exist.
    cancelling_stops_a_job {
        let cell = Cell::start(1, 1).await;
        cell.submit_until_accepted(0, JOB, "ms=60000", json!([{"count": 6, "cpu": 1000}])).await;
        cell.wait_for_state(0, JOB, "running").await;
        assert_eq!(cell.call(0, Method::DELETE, JOB, None).await.0, 200);
        cell.wait_for_state(0, JOB, "cancelled").await;
        cell.eventually("nothing runs", async |cell: &Cell| {
            cell.site.log().starts().iter().all(|entry| entry.ended.is_some())
        }).await;
        assert_eq!(cell.call(0, Method::DELETE, "/plain/00000000000000ff", None).await.0, 410);
        cell.assert_no_violations();
    }

    /// Guards against a number of waiting jobs that is not available on every node.
    waiting_jobs_are_counted_on_each_node {
        let cell = Cell::start(2, 1).await;
        cell.submit_until_accepted(0, JOB, "ms=60000", json!([{"count": 4, "cpu": 1000}])).await;
        cell.wait_for_state(0, JOB, "running").await;
        assert_eq!(cell.submit(1, "/plain/00000000000000a3", json!([{"count": 1, "cpu": 4000}])).await, 200);
        for node in 0..2 {
            cell.eventually("one job waits", async |cell: &Cell| {
                let (status, body) = cell.call(node, Method::GET, "/plain/", None).await;
                status == 200 && body["waiting"] == 1
            }).await;
        }
    }

    /// Guards against invalid input that is stored, or refused without a reason.
    bad_input_is_refused_with_a_code {
        let cell = Cell::start(1, 1).await;
        let bodies = [
            json!({"spec": "x", "steps": []}),
            json!({"spec": "x", "steps": [{"count": 0}]}),
            json!({"spec": "x", "steps": [{"count": 1, "after": [0]}]}),
            json!({"spec": "x", "steps": [{"count": "many"}]}),
            json!({"spec": "x".repeat(4_001), "steps": [{"count": 1}]}),
            json!("no object"),
        ];
        for body in &bodies {
            let (status, answer) = cell.call(0, Method::POST, JOB, Some(body)).await;
            assert_eq!((status, answer["code"].as_u64()), (400, Some(1001)), "{body}");
        }
        let (status, answer) = cell.call(0, Method::POST, "/plain/not-an-id", Some(&bodies[0])).await;
        assert_eq!((status, answer["code"].as_u64()), (400, Some(1003)));
        assert_eq!(cell.state(0, JOB).await, "410");
        assert_eq!(cell.call(0, Method::GET, "/nowhere/", None).await.0, 404);
        assert!(cell.site.keys("lagoon/job/").is_empty());
    }

    /// Guards against a configuration that applies late or only on some nodes.
    queues_follow_the_configuration {
        let cell = Cell::start(2, 1).await;
        cell.site.configure(2, &["added"]);
        for node in 0..2 {
            cell.eventually("the queue exists", async |cell: &Cell| {
                cell.call(node, Method::GET, "/added/", None).await.0 == 200
            }).await;
            assert_eq!(cell.call(node, Method::GET, "/plain/", None).await.0, 404);
        }
    }

    /// Guards against the answer that a job still runs when its last task has ended: the caller would repeat the
    /// request only much later.
    a_question_at_the_end_of_a_job_waits_for_its_final_state {
        let cell = Cell::start(2, 1).await;
        for node in 0..2 {
            let job = format!("/plain/00000000000000d{node}");
            let steps = json!([{"count": 1, "cpu": 1000}]);
            cell.submit_until_accepted(0, &job, "ms=600", steps).await;
            cell.eventually("the task runs", async |cell: &Cell| {
                cell.site.log().starts().len() > node
            })
            .await;
            // The task ends about 100 ms later, within the time for which a request waits for the final state.
            tokio::time::sleep(Duration::from_millis(500)).await;
            assert_eq!(cell.state(node, &job).await, "done");
        }
    }

    /// Guards against missing reports for operators, and against reports from a node that does not own the cell.
    operators_see_the_state_of_a_node {
        let cell = Cell::start(2, 1).await;
        let owner = cell.owner().await;
        let other = 1 - owner;
        cell.submit_until_accepted(other, "/plain/00000000000000d1", "ms=5000", json!([{"count": 5, "cpu": 1000}])).await;
        cell.wait_for_starts(4).await;
        let (status, job) = cell.inspect(owner, "/v1/jobs/00000000000000d1").await;
        assert_eq!(status, 200, "{job}");
        assert_eq!(job["steps"][0]["waits_for"], "room", "{job}");
        assert_eq!(job["steps"][0]["runs"].as_array().map(Vec::len), Some(4), "{job}");
        let (_, executors) = cell.inspect(owner, "/v1/executors").await;
        assert_eq!(executors["executors"][0]["runs"], 4, "{executors}");
        let (_, view) = cell.inspect(other, "/v1/cell").await;
        assert_eq!(view["owner"]["member"], format!("m{owner}"), "{view}");
        assert_eq!(view["members"].as_array().map(Vec::len), Some(2), "{view}");
        let (status, refusal) = cell.inspect(other, "/v1/executors").await;
        assert_eq!((status, &refusal["name"]), (503, &json!("not_owner")), "{refusal}");
    }
}
