//! Sizes of encoded messages: JSON to workers and the store, protobuf between the system's processes.

use lagoon_core::id::{Epoch, Incarnation, Sequence, TaskId, WorkId};
use lagoon_core::journal::{EndedWork, JournalEntry};
use lagoon_core::policy::{Policy, TeamPolicy, Weight};
use lagoon_core::shard::Deduplication;
use lagoon_core::unit::{Bytes, Millis};
use lagoon_core::work::Outcome;
use lagoon_platform::worker::{
    Inventory, LeaseRequest, LeaseResponse, StartRequest, StartResponse, TaskReport, TaskState,
    Usage,
};
use lagoon_wire::v1::{HeartbeatRequest, Member, ShardClaim};
use prost::Message;
use serde::Serialize;

use crate::report::ScenarioReport;
use crate::sim::shard_id;
use crate::slope::Line;
use crate::slope::queue_slope::submission;
use crate::slope::worker_slope::NOW;
use crate::util::{cores_gib, name};
use crate::workload::Deployment;

pub(super) fn measure(report: &mut ScenarioReport) {
    measure_worker_messages(report);
    measure_peer_messages(report);
    measure_journal(report);
    measure_policy(report);
}

fn json_len(value: &impl Serialize) -> f64 {
    serde_json::to_string(value).map_or(0.0, |text| text.len() as f64)
}

fn task(number: u64) -> TaskId {
    let work = WorkId::new(
        shard_id(),
        Epoch::new(12),
        Sequence::new(1_000_000 + number),
    );
    TaskId::new(work, Default::default())
}

fn measure_worker_messages(report: &mut ScenarioReport) {
    let request = LeaseRequest {
        holder: name("scheduler-17"),
        shard: shard_id(),
        shard_epoch: Epoch::new(12),
        known_epoch: Some(Epoch::new(4)),
        ttl_ms: Millis::new(2_000),
        task_ttl_ms: Millis::new(60_000),
        known_sequence: Sequence::new(123_456),
        renew_tasks_of: Vec::new(),
    };
    report
        .figures
        .insert("lease request (B)".to_owned(), json_len(&request));
    let mut line = Line::default();
    for tasks in [0, 1, 2, 4, 8] {
        line.add(tasks as f64, json_len(&lease_response(tasks)));
    }
    let empty = json_len(&lease_response(0));
    report
        .figures
        .insert("lease answer without changes (B)".to_owned(), empty);
    line.report_slope("lease answer, each changed task (B)", report);
    let start = StartRequest {
        epoch: Epoch::new(4),
        task: task(1),
        shard: shard_id(),
        shard_epoch: Epoch::new(12),
        resources: cores_gib(4, 16),
        run_ms: Millis::new(60_000),
        payload: "x".repeat(200),
    };
    let response = StartResponse {
        already_known: false,
        state: TaskState::Running,
    };
    report.figures.insert(
        "start request with 200 B payload (B)".to_owned(),
        json_len(&start),
    );
    report
        .figures
        .insert("start answer (B)".to_owned(), json_len(&response));
}

fn lease_response(tasks: u64) -> LeaseResponse {
    let report = |number| TaskReport {
        task: task(number),
        shard: shard_id(),
        shard_epoch: Epoch::new(12),
        resources: cores_gib(4, 16),
        state: TaskState::Succeeded {
            output: "ok".to_owned(),
        },
        observed: cores_gib(3, 12),
    };
    LeaseResponse {
        epoch: Epoch::new(4),
        incarnation: Incarnation::new(3),
        rack: name("rack-1234"),
        capacity: cores_gib(32, 128),
        inventory: Inventory {
            full: false,
            sequence: Sequence::new(123_456),
            tasks: (0..tasks).map(report).collect(),
            forgotten: Vec::new(),
        },
        usage: Usage {
            assigned: cores_gib(28, 112),
            observed: cores_gib(20, 80),
            age_ms: Millis::new(900),
        },
    }
}

fn measure_peer_messages(report: &mut ScenarioReport) {
    let claim = |number: u64| ShardClaim {
        shard: format!("load-12:{number}"),
        epoch: 12,
        owner: "scheduler-17".to_owned(),
        owner_address: "10.1.17.2:7400".to_owned(),
        serving: true,
    };
    let message = |shards: u64| HeartbeatRequest {
        sender: Some(Member {
            process: "scheduler-17".to_owned(),
            role: "scheduler".to_owned(),
            domain: "load-12".to_owned(),
            address: "10.1.17.2:7400".to_owned(),
            policy_version: 123_456,
            shards: (0..shards).map(claim).collect(),
            up_ms: 86_400_000,
            leaving: false,
        }),
        leaving: false,
    };
    let mut line = Line::default();
    for shards in [0, 1, 2, 4, 8] {
        line.add(shards as f64, message(shards).encoded_len() as f64);
    }
    let empty = message(0).encoded_len() as f64;
    report
        .figures
        .insert("peer heartbeat without shards (B)".to_owned(), empty);
    line.report_slope("peer heartbeat, each shard (B)", report);
}

fn measure_journal(report: &mut ScenarioReport) {
    let submission = submission(&Deployment::settlements(), 1_000_000, Deduplication::Once);
    let work = task(1).work().clone();
    let accepted = JournalEntry::Accepted {
        work: work.clone(),
        key: Some(name("0123456789abcdef0123456789abcdef")),
        fingerprint: u64::MAX,
        spec: submission.spec.into(),
        accepted_at: NOW,
    };
    let ended = JournalEntry::Ended {
        work,
        outcome: Outcome::Succeeded("ok".to_owned()),
        at: NOW,
    };
    report.figures.insert(
        "journal entry of an acceptance (B)".to_owned(),
        json_len(&accepted),
    );
    report
        .figures
        .insert("journal entry of an end (B)".to_owned(), json_len(&ended));
    let kept = size_of::<EndedWork>() as f64;
    report
        .figures
        .insert("fixed part of a kept end in memory (B)".to_owned(), kept);
}

fn measure_policy(report: &mut ScenarioReport) {
    let mut line = Line::default();
    for teams in [0_u64, 200, 400, 810] {
        let mut policy = Policy::default();
        for number in 0..teams {
            let team = TeamPolicy {
                weight: Weight::new(10),
                quota: cores_gib(1_000 + number, 4_000 + number),
                queue_limit: 10_000,
            };
            policy
                .teams
                .insert(name(&format!("team-{number:04}")), team);
        }
        line.add(teams as f64, json_len(&policy));
    }
    line.report_last("policy document of 810 teams (B)", report);
    let limit = Bytes::new(1_000_000).get() as f64;
    report
        .figures
        .insert("largest store value (B)".to_owned(), limit);
}
