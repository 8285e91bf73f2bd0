use lagoon_core::unit::{Millis, Rate};

use crate::report::{Check, ScenarioReport};
use crate::scenario::{Case, Options, PolicyKind, Size};
use crate::workload::{Deployment, Span};

/// Required placements per second of one process at 1,000 workers.
const MIN_PLACEMENTS_PER_SECOND: f64 = 10_000.0;
/// Maximum p99 cost of a decision, in nanoseconds.
const MAX_DECISION_NS: u64 = 1_000_000;

/// Runs a complete shard for a few virtual seconds at several sizes, with heartbeats, ticks, host list and journal.
pub(super) fn shard_cost(options: &Options) -> Vec<ScenarioReport> {
    let sizes: &[usize] = match options.size {
        Size::Full => &[100, 300, 1_000],
        Size::Small => &[20],
    };
    sizes
        .iter()
        .map(|workers| run_size(*workers, options))
        .collect()
}

fn run_size(workers: usize, options: &Options) -> ScenarioReport {
    let deployment = Deployment::settlements().with_workers(workers);
    let mut case = Case::steady(deployment.clone(), options);
    case.deployment = deployment;
    let times = &mut case.times;
    times.measured = times.arrivals;
    times.last = times.arrivals.after(Millis::new(5_000));
    times.end = times.last.after(Millis::new(2_000));
    // Ten placements per second and worker: each task uses one core and runs for one second on average.
    let mut batch = case.streams[0].clone();
    batch.cores = Span::new(1, 1);
    batch.run = Span::new(500, 1_500);
    batch.rate = Rate::per_second(10 * workers as u64);
    batch.until = times.last;
    case.streams = vec![batch];
    let mut report = case.report("cost", &format!("{workers} workers"), PolicyKind::Shard);
    let rate = report.starts_per_busy_second.unwrap_or(0.0);
    let p99 = report.costs.iter().map(|cost| cost.p99).max().unwrap_or(0);
    report.checks = vec![Check::new(
        "p99 of one decision under 1 ms",
        format!("{p99} ns"),
        p99 < MAX_DECISION_NS,
    )];
    if workers == 1_000 {
        report.checks.push(Check::new(
            "10,000 placements/s or more in one process at 1,000 workers",
            format!("{rate:.0}/s of one thread's time"),
            rate >= MIN_PLACEMENTS_PER_SECOND,
        ));
    }
    report.figures.insert("workers".to_owned(), workers as f64);
    report
}
