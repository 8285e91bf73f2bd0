use crate::report::ScenarioReport;

/// Prints a report as text tables.
pub(crate) fn print(report: &ScenarioReport) {
    let ScenarioReport {
        scenario,
        case,
        policy,
        seed,
        ..
    } = report;
    println!("\n{scenario} / {case} / {policy} (seed {seed})");
    if !report.rows.is_empty() {
        println!(
            "  {:<22} {:>9} {:>9} {:>9} {:>7} {:>9} {:>8} {:>8} {:>8} {:>9}",
            "class",
            "submitted",
            "started",
            "succeeded",
            "failed",
            "refused",
            "p50 ms",
            "p99 ms",
            "max ms",
            "starts/s"
        );
    }
    for row in &report.rows {
        println!(
            "  {:<22} {:>9} {:>9} {:>9} {:>7} {:>9} {:>8} {:>8} {:>8} {:>9.1}",
            row.class,
            row.submitted,
            row.started,
            row.succeeded,
            row.failed,
            row.refused,
            row.wait_p50,
            row.wait_p99,
            row.wait_max,
            row.starts_per_second
        );
    }
    for cost in &report.costs {
        println!(
            "  cost of {:<30} p50 {:>9} ns  p99 {:>9} ns  mean {:>9.0} ns  max {:>11} ns  ({} times)",
            cost.what, cost.p50, cost.p99, cost.mean, cost.max, cost.count
        );
    }
    if let Some(rate) = report.starts_per_busy_second {
        println!("  starts per second of policy time: {rate:.0}");
    }
    if let Some(share) = report.first_refusal_share {
        println!("  share in use at the first refusal: {:.1}%", share * 100.0);
    }
    for (code, count) in &report.refusals {
        println!("  refused {code}: {count}");
    }
    for (name, value) in &report.figures {
        println!("  {name}: {value:.3}");
    }
    for check in &report.checks {
        let met = if check.met { "met   " } else { "MISSED" };
        println!("  {met} {} -- {}", check.target, check.measured);
    }
}
