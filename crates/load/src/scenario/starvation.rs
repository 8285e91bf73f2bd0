use lagoon_core::unit::{Millis, Rate};
use lagoon_core::work::WorkKind;

use crate::report::{Check, ScenarioReport};
use crate::scenario::Options;
use crate::scenario::case::Case;
use crate::scenario::policy_kind::PolicyKind;
use crate::workload::{Deployment, Span, Stream};

/// Time in which small work arrives. A job that starts only after it waited for the small work to end.
const SMALL_WORK: Millis = Millis::new(180_000);
/// Time after it, longer than the start deadline of small work.
const DRAIN: Millis = Millis::new(150_000);

/// Small work fills the fleet all the time, and one gang job needs every worker as a whole.
pub(super) fn run(options: &Options) -> Vec<ScenarioReport> {
    let mut case = Case::steady(Deployment::settlements(), options);
    let cores = case.deployment.total_cores();
    case.times.measured = case.times.arrivals;
    case.times.last = case.times.arrivals.after(SMALL_WORK);
    case.times.end = case.times.last.after(DRAIN);
    let small = Stream {
        until: case.times.last,
        ..case.streams[0].clone()
    };
    let rate = small.rate_for(1.5 * cores);
    let whole = Stream {
        kind: WorkKind::Gang,
        teams: "whole",
        team_count: 1,
        cores: Span::new(case.deployment.cores, case.deployment.cores),
        members: Span::new(
            case.deployment.workers as u64,
            case.deployment.workers as u64,
        ),
        patience: None,
        rate: Rate::per_second(1),
        at_most: 1,
        ..small.clone()
    };
    case.streams = vec![Stream { rate, ..small }, whole];
    let report = |kind| {
        let mut report = case.report("starvation", case.deployment.name, kind);
        let class = WorkKind::Gang.to_string();
        let row = report.rows.iter().find(|row| row.class == class);
        let (submitted, started, wait) =
            row.map_or((0, 0, 0), |row| (row.submitted, row.started, row.wait_max));
        report.checks = vec![Check::new(
            "the largest gang job that fits starts while small work still arrives",
            format!("{started} of {submitted} started, longest wait {wait} ms"),
            submitted > 0 && started == submitted && wait < SMALL_WORK.get(),
        )];
        report
    };
    PolicyKind::ALL.into_iter().map(report).collect()
}
