//! Scenarios with faults of hosts and callers under the steady load.

use lagoon_core::unit::{Priority, Rate};
use lagoon_core::work::WorkKind;

use crate::report::{Check, ScenarioReport};
use crate::scenario::Options;
use crate::scenario::case::Case;
use crate::scenario::policy_kind::PolicyKind;
use crate::sim::Fault;
use crate::workload::Deployment;

/// Maximum p99 cost of a decision, in nanoseconds.
const MAX_DECISION_NS: u64 = 1_000_000;

pub(super) fn cancel(options: &Options) -> Vec<ScenarioReport> {
    let steady = Case::steady(Deployment::settlements(), options);
    let times = steady.times;
    let mut backlog = steady
        .deployment
        .flood(Priority::NORMAL, times.arrivals, times.last);
    backlog.rate = Rate::new(backlog.rate.get() / 5);
    let mut case = steady.with_stream(backlog);
    case.faults.push((times.measured, Fault::CancelHalf));
    run_both_policies("cancel", &case, |_| Vec::new())
}

pub(super) fn failing(options: &Options) -> Vec<ScenarioReport> {
    let mut case = Case::steady(Deployment::settlements(), options);
    let specs = case.deployment.specs();
    let fails = specs.iter().step_by(5);
    let fails = fails.map(|spec| Fault::FailEverything(spec.worker.clone()));
    let at = case.times.arrivals;
    case.faults = fails.map(|fault| (at, fault)).collect();
    run_both_policies("failing", &case, |report| {
        let rows = || report.rows.iter();
        let failed: u64 = rows().map(|row| row.failed + row.refused).sum();
        let submitted: u64 = rows()
            .filter(|row| !row.class.contains(WorkKind::Service.as_str()))
            .map(|row| row.submitted)
            .sum();
        let measured = format!("{failed} of {submitted} jobs failed or were refused");
        // If failing workers were not rested, most work would go to them, because they are always free.
        let met = failed * 5 <= submitted;
        vec![Check::new(
            "failing workers do not attract work (less than their fifth of it fails)",
            measured,
            met,
        )]
    })
}

pub(super) fn wrong_sizes(options: &Options) -> Vec<ScenarioReport> {
    let mut case = Case::steady(Deployment::plans(), options);
    for stream in &mut case.streams {
        stream.error_factor = 40_000;
    }
    run_both_policies("wrong-sizes", &case, |_| Vec::new())
}

pub(super) fn rack_lost(options: &Options) -> Vec<ScenarioReport> {
    let mut case = Case::steady(Deployment::settlements(), options);
    let rack = case.deployment.specs()[0].rack.clone();
    case.faults
        .push((case.times.measured, Fault::LoseRack(rack)));
    run_both_policies("rack-lost", &case, |_| Vec::new())
}

fn run_both_policies(
    scenario: &str,
    case: &Case,
    checks: impl Fn(&ScenarioReport) -> Vec<Check>,
) -> Vec<ScenarioReport> {
    let run = |kind| {
        let mut report = case.report(scenario, case.deployment.name, kind);
        report.checks = checks(&report);
        report.checks.push(capacity_check(&report));
        if kind == PolicyKind::Shard {
            report.checks.push(decision_check(&report));
        }
        report
    };
    PolicyKind::ALL.into_iter().map(run).collect()
}

/// Checks guarantee G1 on the side of the workers, which refuse starts that exceed their capacity.
fn capacity_check(report: &ScenarioReport) -> Check {
    let refused = report.figures.get("starts that did not fit");
    let refused = refused.copied().unwrap_or(0.0);
    Check::new(
        "no worker is assigned more than it holds",
        format!("{refused} starts did not fit"),
        refused == 0.0,
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
