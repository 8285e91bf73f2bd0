//! Scenarios with small fleets in virtual time. Bounds are the targets of the design.

use lagoon_load::{Options, ScenarioReport, Size, names, run_scenario};

fn run(name: &str) -> Vec<ScenarioReport> {
    let options = Options {
        seed: 7,
        size: Size::Small,
    };
    run_scenario(name, &options).expect("the scenario is known")
}

fn of_shard(reports: Vec<ScenarioReport>) -> Vec<ScenarioReport> {
    let of_shard = reports
        .into_iter()
        .filter(|report| report.policy == "shard");
    of_shard.collect()
}

/// Asserts that all checks whose target contains `target` are met.
fn assert_met(reports: &[ScenarioReport], target: &str) {
    let checks = reports.iter().flat_map(|report| &report.checks);
    let checks: Vec<_> = checks
        .filter(|check| check.target.contains(target))
        .collect();
    assert!(!checks.is_empty(), "no check of {target:?}");
    for check in checks {
        assert!(check.met, "{}: {}", check.target, check.measured);
    }
}

macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident($scenario:literal, $reports:ident) $body:block)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                let $reports = of_shard(run($scenario));
                $body
            }
        )*
    };
}

cases! {
    /// Guards against urgent work that waits behind other work under the steady load.
    urgent_work_starts_soon("deployments", reports) {
        assert_met(&reports, "within 5.3 s");
    }

    /// Guards against starvation of a gang job that needs the whole fleet by a continuous stream of small tasks.
    largest_gang_job_starts("starvation", reports) {
        assert_met(&reports, "largest gang job");
    }

    /// Guards against refusals of feasible work while more than a tenth of the fleet is idle.
    fleet_is_packed_before_refusals("packing", reports) {
        assert_met(&reports, "90% or more");
    }

    /// Guards against a flood of the least urgent work that takes throughput from other kinds.
    least_urgent_flood_leaves_throughput("flood-least", reports) {
        assert_met(&reports, "95% of its throughput");
    }

    /// Guards against a flood of the most urgent work that takes throughput from other kinds.
    most_urgent_flood_leaves_throughput("flood-urgent", reports) {
        assert_met(&reports, "95% of its throughput");
    }

    /// Guards against urgent work of other teams that waits behind a flood of the least urgent work.
    urgent_work_starts_soon_in_a_flood("flood-least", reports) {
        assert_met(&reports, "within 5.3 s");
    }

    /// Guards against urgent work of other teams that waits behind a flood of the most urgent work.
    urgent_work_starts_soon_in_an_urgent_flood("flood-urgent", reports) {
        assert_met(&reports, "within 5.3 s");
    }

    /// Guards against failing workers that attract most work because their capacity is released immediately.
    failing_workers_attract_no_work("failing", reports) {
        assert_met(&reports, "failing workers");
        assert_met(&reports, "more than it holds");
    }

    /// Guards against allocations that exceed the capacity of a worker when declared sizes and run times are wrong.
    wrong_sizes_never_exceed_a_worker("wrong-sizes", reports) {
        assert_met(&reports, "more than it holds");
    }

    /// Guards against lost work when a rack is lost: all accepted work must succeed, fail or be refused.
    lost_rack_loses_no_work("rack-lost", reports) {
        assert_met(&reports, "more than it holds");
        for row in reports.iter().flat_map(|report| &report.rows) {
            assert_eq!(row.submitted, row.succeeded + row.failed + row.refused, "{}", row.class);
        }
    }

    /// Guards against cancelled work that starts, and against a queue that stalls after a burst of cancellations.
    cancelled_half_ends_as_cancelled("cancel", reports) {
        let cancelled = reports[0].figures["cancelled"];
        let refused = reports[0].refusals.get("2007 cancelled").copied();
        assert!(cancelled > 0.0);
        assert_eq!(refused, Some(cancelled as u64));
        let batch = reports[0].rows.iter().find(|row| row.class == "batch").unwrap();
        assert!(batch.succeeded > 0);
    }

    /// Guards against waits that are clamped to the range of a histogram.
    long_waits_are_not_cut_off("starvation", reports) {
        let longest = reports[0].rows.iter().map(|row| row.wait_max).max();
        assert!(longest > Some(10_000));
    }
}

/// Guards against slopes that are computed from fewer than three points.
#[test]
fn slopes_have_at_least_three_points() {
    let reports = run("slopes");
    let series = &reports[0].series;
    assert!(series.len() >= 10);
    for (name, points) in series {
        assert!(points.len() >= 3, "{name} has {} points", points.len());
    }
}

/// Guards against unknown names that run a scenario, and against scenarios missing from the list of names.
#[test]
fn only_known_names_run() {
    let options = Options {
        seed: 1,
        size: Size::Small,
    };
    assert!(run_scenario("unknown", &options).is_none());
    assert!(names().any(|(name, _)| name == "slopes"));
}
