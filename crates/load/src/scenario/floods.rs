//! Effect of floods on the other kinds of work.

use lagoon_core::unit::Priority;
use lagoon_core::work::WorkKind;

use crate::report::{Check, ClassRow, ScenarioReport};
use crate::scenario::Options;
use crate::scenario::case::Case;
use crate::scenario::deployments::urgent_check;
use crate::scenario::policy_kind::PolicyKind;
use crate::workload::Deployment;

/// Minimum ratio of the throughput of other kinds during a flood to that before it.
const MIN_THROUGHPUT_RATIO: f64 = 0.95;
/// Maximum ratio of the p99 wait of other kinds during a flood to that before it.
const MAX_WAIT_FACTOR: u64 = 2;

pub(super) fn least(options: &Options) -> Vec<ScenarioReport> {
    flood("flood-least", Priority::LOWEST, options)
}

pub(super) fn urgent(options: &Options) -> Vec<ScenarioReport> {
    flood("flood-urgent", Priority::HIGHEST, options)
}

fn flood(scenario: &str, priority: Priority, options: &Options) -> Vec<ScenarioReport> {
    let mut reports = Vec::new();
    for deployment in [Deployment::settlements(), Deployment::plans()] {
        let name = deployment.name;
        let steady = Case::steady(deployment, options);
        let times = steady.times;
        let stream = steady.deployment.flood(priority, times.flood, times.last);
        let flooded = steady.with_stream(stream);
        for kind in PolicyKind::ALL {
            let before = steady.report(scenario, &format!("{name}, no flood"), kind);
            let mut during = flooded.report(scenario, &format!("{name}, flood"), kind);
            during.checks = vec![urgent_check(&during)];
            for kind in [WorkKind::Service, WorkKind::Gang] {
                for urgent in [false, true] {
                    let class = match urgent {
                        true => format!("{kind} urgent"),
                        false => kind.to_string(),
                    };
                    let checks = flood_checks(&class, &before, &during);
                    during.checks.extend(checks.into_iter().flatten());
                }
            }
            reports.extend([before, during]);
        }
    }
    reports
}

fn flood_checks(
    class: &str,
    before: &ScenarioReport,
    during: &ScenarioReport,
) -> Option<[Check; 2]> {
    let row = |report: &ScenarioReport| -> Option<ClassRow> {
        report.rows.iter().find(|row| row.class == class).cloned()
    };
    let (before, during) = (row(before)?, row(during)?);
    let ratio = during.starts_per_second / before.starts_per_second.max(f64::MIN_POSITIVE);
    let throughput = Check::new(
        format!("{class} keeps 95% of its throughput"),
        format!("{:.1}%", ratio * 100.0),
        ratio >= MIN_THROUGHPUT_RATIO,
    );
    let (steady, flooded) = (before.wait_p99, during.wait_p99);
    let wait = Check::new(
        format!("p99 wait of {class} at most doubles"),
        format!("{steady} ms to {flooded} ms"),
        flooded <= steady * MAX_WAIT_FACTOR,
    );
    Some([throughput, wait])
}
