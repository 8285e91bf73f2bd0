//! Utilization of the fleet when feasible work is first refused.

use lagoon_core::placement::Fleet;
use lagoon_core::unit::{Bytes, Millicores, Priority, Rate, Resources};
use lagoon_core::work::PlacementPolicy;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::report::{Check, ScenarioReport};
use crate::scenario::Options;
use crate::scenario::case::Case;
use crate::scenario::policy_kind::PolicyKind;
use crate::workload::Deployment;

/// Minimum share of the dominant resource in use when a feasible task is first refused.
const MIN_SHARE_IN_USE: f64 = 0.9;

pub(super) fn run(options: &Options) -> Vec<ScenarioReport> {
    let mut reports = Vec::new();
    for deployment in [Deployment::settlements(), Deployment::plans()] {
        let steady = Case::steady(deployment, options);
        let times = steady.times;
        let mut excess = steady
            .deployment
            .flood(Priority::NORMAL, times.arrivals, times.last);
        excess.rate = Rate::new(excess.rate.get() / 5);
        let name = steady.deployment.name;
        let case = steady.with_stream(excess);
        for kind in PolicyKind::ALL {
            let mut report = case.report("packing", name, kind);
            report.checks = vec![check(report.first_refusal_share)];
            reports.push(report);
        }
        reports.push(fill(&steady.deployment, options));
    }
    reports
}

/// Fills an empty fleet with single tasks until one doesn't fit.
fn fill(deployment: &Deployment, options: &Options) -> ScenarioReport {
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let mut fleet = Fleet::new();
    for spec in deployment.specs() {
        fleet.upsert_worker(spec.worker, spec.rack, spec.capacity);
    }
    let anywhere = PlacementPolicy::default();
    loop {
        let cores: u64 = rng.random_range(1..=8);
        let gib = cores * deployment.gib / deployment.cores;
        let gib = rng.random_range(1..=gib.max(2));
        let need = Resources::new(Millicores::new(cores * 1_000), Bytes::new(gib << 30));
        if fleet.place(&need, &anywhere).is_none() {
            break;
        }
    }
    let share = fleet.in_use().dominant_share(&fleet.total_capacity());
    let case = format!("{}, fleet alone, 1 to 8 cores", deployment.name);
    let mut report = ScenarioReport::new("packing", &case, "fleet", options.seed);
    report.first_refusal_share = Some(share);
    report.checks = vec![check(Some(share))];
    report
}

fn check(share: Option<f64>) -> Check {
    let measured = share.map_or("nothing was refused".to_owned(), |share| {
        format!("{:.1}%", share * 100.0)
    });
    let met = share.is_none_or(|share| share >= MIN_SHARE_IN_USE);
    Check::new(
        "90% or more in use at the first refusal of feasible work",
        measured,
        met,
    )
}
