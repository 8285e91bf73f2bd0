use lagoon_core::work::WorkKind;

use crate::report::{Check, ScenarioReport};
use crate::scenario::Options;
use crate::scenario::case::Case;
use crate::scenario::policy_kind::PolicyKind;
use crate::workload::Deployment;

/// Maximum wait of urgent work within its quota, in milliseconds.
pub(super) const URGENT_START: u64 = 5_300;
/// Maximum p99 cost of a decision, in nanoseconds.
const MAX_DECISION_NS: u64 = 1_000_000;

pub(super) fn run(options: &Options) -> Vec<ScenarioReport> {
    let mut reports = Vec::new();
    for deployment in [Deployment::settlements(), Deployment::plans()] {
        let name = deployment.name;
        let case = Case::steady(deployment, options);
        for kind in PolicyKind::ALL {
            let mut report = case.report("deployments", name, kind);
            report.checks = vec![urgent_check(&report), decision_check(&report)];
            reports.push(report);
        }
    }
    reports
}

/// Checks the longest wait of urgent work that is not part of a flood.
pub(super) fn urgent_check(report: &ScenarioReport) -> Check {
    let of = |kind: WorkKind| {
        let class = format!("{kind} urgent");
        let row = report.rows.iter().find(|row| row.class == class);
        row.map_or(0, |row| row.wait_max)
    };
    let longest = of(WorkKind::Service).max(of(WorkKind::Batch));
    let measured = format!("longest wait {longest} ms");
    Check::new(
        "urgent work starts within 5.3 s",
        measured,
        longest <= URGENT_START,
    )
}

fn decision_check(report: &ScenarioReport) -> Check {
    let p99 = report.costs.iter().map(|cost| cost.p99).max().unwrap_or(0);
    Check::new(
        "p99 of one decision under 1 ms",
        format!("{p99} ns"),
        p99 < MAX_DECISION_NS,
    )
}
