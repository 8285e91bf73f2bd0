//! Decision cost and throughput at the target size of 28 failure domains.

use crate::bench::DecisionBench;
use crate::report::{Check, Cost, ScenarioReport, new_histogram, record};
use crate::scenario::{Options, Size};

const WORKERS: usize = 25_000;
const TASKS: usize = 89_000;
const TEAMS: usize = 810;
const DOMAINS: usize = 28;
/// Required starts per second at peak load.
const PEAK_STARTS_PER_SECOND: f64 = 16_000.0;
/// Maximum p99 cost of a decision, in nanoseconds.
const MAX_DECISION_NS: u64 = 1_000_000;

pub(crate) fn run(options: &Options) -> Vec<ScenarioReport> {
    let (domains, decisions) = match options.size {
        Size::Full => (DOMAINS, 500_000),
        Size::Small => (2, 2_000),
    };
    let (workers, tasks) = (WORKERS / DOMAINS, TASKS / DOMAINS);
    let new = |number: usize| {
        let seed = options.seed.wrapping_mul(100) + number as u64;
        DecisionBench::new(workers, tasks, TEAMS, seed)
    };
    let mut benches: Vec<DecisionBench> = (0..domains).map(new).collect();
    let (mut starts, mut ends) = (new_histogram(), new_histogram());
    let mut total = std::time::Duration::ZERO;
    for number in 0..decisions {
        let bench = &mut benches[number % domains];
        let (end, start) = (bench.end_one(), bench.start_one());
        record(&mut ends, end);
        record(&mut starts, start);
        total += end + start;
    }
    let case = format!("{domains} failure domains of {workers} workers");
    let mut report = ScenarioReport::new("domains", &case, "queue and fleet", options.seed);
    report.costs = vec![
        Cost::of("queueing and placing a task", &starts),
        Cost::of("ending a task", &ends),
    ];
    let rate = decisions as f64 / total.as_secs_f64();
    let running: usize = benches.iter().map(DecisionBench::running).sum();
    let figures = [
        ("running tasks", running as f64),
        ("teams", TEAMS as f64),
        ("share in use", benches[0].share_in_use()),
        ("starts and ends per second of one thread", rate),
    ];
    report.figures = figures
        .into_iter()
        .map(|(name, value)| (name.to_owned(), value))
        .collect();
    let p99 = report.costs[0].p99;
    report.checks = vec![
        Check::new(
            "p99 of one decision under 1 ms",
            format!("{p99} ns"),
            p99 < MAX_DECISION_NS,
        ),
        Check::new(
            "16,000 starts/s at peak (decision code only, one thread)",
            format!("{rate:.0}/s"),
            rate >= PEAK_STARTS_PER_SECOND,
        ),
    ];
    report
        .figures
        .insert("failure domains".to_owned(), domains as f64);
    vec![report]
}
