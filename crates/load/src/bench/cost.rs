//! Decision cost by fleet size.

use crate::bench::DecisionBench;
use crate::bench::shard_cost::shard_cost;
use crate::report::{Check, Cost, ScenarioReport, new_histogram, record};
use crate::scenario::{Options, Size};

const FULL: &[usize] = &[100, 1_000, 5_000, 25_000];
const SMALL: &[usize] = &[20, 100];
/// Running tasks per worker at the target size: 89,000 on 25,000 workers.
const TASKS_PER_WORKER: f64 = 3.56;
const TEAMS: usize = 810;
/// Maximum p99 cost of a decision, in nanoseconds.
const MAX_DECISION_NS: u64 = 1_000_000;

pub(crate) fn run(options: &Options) -> Vec<ScenarioReport> {
    let (sizes, decisions) = match options.size {
        Size::Full => (FULL, 200_000),
        Size::Small => (SMALL, 2_000),
    };
    let mut reports: Vec<ScenarioReport> = sizes
        .iter()
        .map(|workers| decision_cost(*workers, decisions, options.seed))
        .collect();
    let means: Vec<f64> = reports.iter().map(|report| report.costs[0].mean).collect();
    if let (Some(first), Some(last), Some(report)) =
        (means.first(), means.last(), reports.last_mut())
    {
        let max_ratio = (sizes[sizes.len() - 1] as f64).ln() / (sizes[0] as f64).ln();
        let ratio = last / first;
        report.checks.push(Check::new(
            format!("cost grows at most logarithmically (factor {max_ratio:.2})"),
            format!("factor {ratio:.2} of the means"),
            ratio <= max_ratio,
        ));
    }
    reports.extend(shard_cost(options));
    reports
}

fn decision_cost(workers: usize, decisions: usize, seed: u64) -> ScenarioReport {
    let tasks = (workers as f64 * TASKS_PER_WORKER) as usize;
    let mut bench = DecisionBench::new(workers, tasks, TEAMS, seed);
    let (mut starts, mut ends, mut gangs) = (new_histogram(), new_histogram(), new_histogram());
    for number in 0..decisions {
        record(&mut ends, bench.end_one());
        record(&mut starts, bench.start_one());
        if number % 100 == 0
            && let Some(elapsed) = bench.place_gang(8)
        {
            record(&mut gangs, elapsed);
        }
    }
    let mut report = ScenarioReport::new(
        "cost",
        &format!("{workers} workers"),
        "queue and fleet",
        seed,
    );
    report.costs = vec![
        Cost::of("queueing and placing a task", &starts),
        Cost::of("ending a task", &ends),
        Cost::of("placing a gang of 8", &gangs),
    ];
    report.figures.insert("workers".to_owned(), workers as f64);
    report
        .figures
        .insert("share in use".to_owned(), bench.share_in_use());
    let p99 = report.costs[0].p99;
    report.checks = vec![Check::new(
        "p99 of one decision under 1 ms",
        format!("{p99} ns"),
        p99 < MAX_DECISION_NS,
    )];
    report
}
