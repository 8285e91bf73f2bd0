//! Entries of other writers among those of the executors.

use std::time::Duration;

use serde_json::{Value, json};

use crate::cell::Cell;

const JOB: &str = "/plain/00000000000000e1";
const LATER_JOB: &str = "/plain/00000000000000e2";
/// Parts of keys that have to be escaped in a query.
const ODD_IDS: [&str; 7] = ["a b", "a&b", "a+b#c", "odd/../e0", "%65", "ü", ""];

cases! {
    /// Guards against a recovery, a watch or a process that fails, again and again, because of one entry among others.
    odd_entries_affect_no_other_entry {
        let mut cell = Cell::start(0, 1).await;
        let odd_values = odd_values(&cell.site.entry("e0"));
        write_odd_entries(&cell, "early", &odd_values);
        cell.add_node().await;
        cell.submit_until_accepted(0, JOB, "ms=60", json!([{"count": 2, "cpu": 1000}])).await;
        cell.wait_for_state(0, JOB, "done").await;
        write_odd_entries(&cell, "late", &odd_values);
        cell.site.start_executor("e1", 4_000).await.unwrap();
        cell.submit_until_accepted(0, LATER_JOB, "ms=600", json!([{"count": 8, "cpu": 1000}])).await;
        cell.wait_for_state(0, LATER_JOB, "done").await;
        assert!(cell.site.log().starts().iter().any(|run| run.executor == "e1"));
        cell.assert_no_violations();
    }

    /// Guards against a list that fails, or omits executors, because a page ends with an odd key.
    pages_that_end_with_odd_keys_hide_no_executor {
        let mut cell = Cell::start(0, 0).await;
        for number in 0..1_200 {
            cell.site.write_entry(&format!("a&b+c #{number:04}"), b"{}");
        }
        cell.site.start_executor("e0", 4_000).await.unwrap();
        cell.add_node().await;
        cell.submit_until_accepted(0, JOB, "ms=60", json!([{"count": 1, "cpu": 1000}])).await;
        cell.wait_for_state(0, JOB, "done").await;
        cell.assert_no_violations();
    }

    /// Guards against more work on an executor than it has capacity for, because of a number in another writer's entry.
    work_fits_despite_an_entry_with_a_capacity_out_of_range {
        let cell = Cell::start(1, 1).await;
        cell.owner().await;
        let mut large = cell.site.entry("e0");
        large["capacity"] = json!({"cpu": u64::MAX, "mem_mb": u64::MAX, "gpu": u32::MAX});
        cell.site.write_entry("e0", large.to_string().as_bytes());
        cell.submit_until_accepted(0, JOB, "ms=300", json!([{"count": 8, "cpu": 1000}])).await;
        tokio::time::sleep(Duration::from_millis(400)).await;
        cell.site.write_entry("e0", cell.site.entry("e0").to_string().as_bytes());
        cell.wait_for_state(0, JOB, "done").await;
        cell.assert_no_violations();
    }

    /// Guards against runs that are lost, or started a second time, because the entry of their executor can't be read for a
    /// while, also by a later owner.
    runs_outlast_odd_entries_of_their_executors {
        let mut cell = Cell::start(2, 2).await;
        let owner = cell.owner().await;
        let other = 1 - owner;
        cell.submit_until_accepted(other, JOB, "ms=5000", json!([{"count": 8, "cpu": 1000}])).await;
        cell.wait_for_starts(8).await;
        // Has capacity for every run that counts as lost.
        cell.site.start_executor("e2", 8_000).await.unwrap();
        for value in odd_values(&cell.site.entry("e0")) {
            cell.site.write_entry("e0", &value);
            tokio::time::sleep(Duration::from_millis(120)).await;
        }
        cell.site.write_unencoded_entry("e1", "%%%");
        cell.crash_node(owner);
        cell.wait_for_state(other, JOB, "done").await;
        assert_eq!(cell.site.log().starts().len(), 8);
        for id in ["e0", "e1"] {
            cell.site.write_entry(id, cell.site.entry(id).to_string().as_bytes());
        }
        cell.submit_until_accepted(other, LATER_JOB, "ms=300", json!([{"count": 8, "cpu": 1000}])).await;
        cell.wait_for_state(other, LATER_JOB, "done").await;
        cell.assert_no_violations();
    }
}

fn write_odd_entries(cell: &Cell, name: &str, values: &[Vec<u8>]) {
    for (number, value) in values.iter().enumerate() {
        let odd_id = ODD_IDS[number % ODD_IDS.len()];
        cell.site.write_entry(&format!("{name}{number}"), value);
        cell.site
            .write_entry(&format!("{odd_id}{name}{number}"), value);
    }
    cell.site.write_unencoded_entry(name, "%%%");
}

/// Returns values that no executor would write, made from the entry of one.
fn odd_values(entry: &Value) -> Vec<Vec<u8>> {
    let text = entry.to_string();
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let with = |field: &str, value: Value| {
        let mut odd = entry.clone();
        odd[field] = value;
        odd.to_string().into_bytes()
    };
    vec![
        Vec::new(),
        b"\xff\xfe\x00".to_vec(),
        nested.clone().into_bytes(),
        text.replacen('{', &format!(r#"{{"state":{nested},"#), 1)
            .into_bytes(),
        text.replacen(r#""born":"#, r#""born":1e400,"x":"#, 1)
            .into_bytes(),
        with("capacity", json!({"cpu": -1, "mem_mb": 1})),
        with(
            "capacity",
            json!({"cpu": u64::MAX, "mem_mb": u64::MAX, "gpu": u32::MAX}),
        ),
        with("born", json!("yesterday")),
        with("born", json!(u64::MAX)),
        with("address", json!("127.0.0.1:70000")),
        with("address", json!("127.0.0.1:0")),
        with("state", json!("resting")),
        with("service", json!("")),
        with("labels", json!({"a": 1})),
        with("labels", json!("x".repeat(200_000))),
    ]
}
