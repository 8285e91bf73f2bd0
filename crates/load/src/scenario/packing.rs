//! How full the fleet is before feasible work is refused.

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

/// Share of the dominant resource that must be in use before the first feasible task is refused.
const PACKED: f64 = 0.9;

pub(super) fn run(options: &Options) -> Vec<ScenarioReport> {
    let mut reports = Vec::new();
    for deployment in [Deployment::settlements(), Deployment::plans()] {
        let calm = Case::steady(deployment, options);
        let times = calm.times;
        let mut excess = calm
            .deployment
            .flood(Priority::NORMAL, times.arrivals, times.last);
        excess.rate = Rate::new(excess.rate.get() / 5);
        let name = calm.deployment.name;
        let case = calm.with_stream(excess);
        for kind in PolicyKind::ALL {
            let mut report = case.report("packing", name, kind);
            report.checks = vec![check(report.first_refusal_share)];
            reports.push(report);
        }
        reports.push(fill(&calm.deployment, options));
    }
    reports
}

/// Fills an empty fleet with single tasks until the first one does not fit.
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
    let met = share.is_none_or(|share| share >= PACKED);
    Check::new(
        "90% or more in use at the first refusal of feasible work",
        measured,
        met,
    )
}
