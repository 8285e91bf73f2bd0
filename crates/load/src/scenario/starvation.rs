use lagoon_core::unit::{Millis, Rate};
use lagoon_core::work::WorkKind;

use crate::report::{Check, ScenarioReport};
use crate::scenario::Options;
use crate::scenario::case::Case;
use crate::scenario::policy_kind::PolicyKind;
use crate::workload::{Deployment, Span, Stream};

/// Time during which small work arrives. A gang job that starts later only started because the small work ended.
const SMALL_WORK_PERIOD: Millis = Millis::new(180_000);
/// Time to run after the last arrival; longer than the start deadline of small work.
const DRAIN_PERIOD: Millis = Millis::new(150_000);

/// Fills the fleet with a continuous stream of small tasks, and submits one gang job that needs all of every worker.
pub(super) fn run(options: &Options) -> Vec<ScenarioReport> {
    let mut case = Case::steady(Deployment::settlements(), options);
    let cores = case.deployment.total_cores();
    case.times.measured = case.times.arrivals;
    case.times.last = case.times.arrivals.after(SMALL_WORK_PERIOD);
    case.times.end = case.times.last.after(DRAIN_PERIOD);
    let small = Stream {
        until: case.times.last,
        ..case.streams[0].clone()
    };
    let rate = small.rate_for(1.5 * cores);
    let fleet_gang = Stream {
        kind: WorkKind::Gang,
        team_prefix: "whole",
        team_count: 1,
        cores: Span::new(case.deployment.cores, case.deployment.cores),
        task_counts: Span::new(
            case.deployment.workers as u64,
            case.deployment.workers as u64,
        ),
        start_timeout: None,
        rate: Rate::per_second(1),
        max_arrivals: 1,
        ..small.clone()
    };
    case.streams = vec![Stream { rate, ..small }, fleet_gang];
    let report = |kind| {
        let mut report = case.report("starvation", case.deployment.name, kind);
        let class = WorkKind::Gang.to_string();
        let row = report.rows.iter().find(|row| row.class == class);
        let (submitted, started, wait) =
            row.map_or((0, 0, 0), |row| (row.submitted, row.started, row.wait_max));
        report.checks = vec![Check::new(
            "the largest gang job that fits starts while small work still arrives",
            format!("{started} of {submitted} started, longest wait {wait} ms"),
            submitted > 0 && started == submitted && wait < SMALL_WORK_PERIOD.get(),
        )];
        report
    };
    PolicyKind::ALL.into_iter().map(report).collect()
}
