//! Prometheus text format.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::metrics::histogram::{BUCKET_BOUNDS_MS, Histogram};
use crate::metrics::histograms::Series;

const PREFIX: &str = "lagoon_";

/// Renders counters (false) and gauges (true), then histograms.
pub(crate) fn render(
    values: &BTreeMap<&'static str, (u64, bool)>,
    histograms: &BTreeMap<Series, Histogram>,
) -> String {
    let mut text = String::new();
    for (name, (amount, is_gauge)) in values {
        let (suffix, metric_type) = if *is_gauge {
            ("", "gauge")
        } else {
            ("_total", "counter")
        };
        let name = format!("{PREFIX}{}{suffix}", to_metric_name(name));
        let _ = writeln!(text, "# TYPE {name} {metric_type}\n{name} {amount}");
    }
    let mut last_name = "";
    for ((name, outcome), histogram) in histograms {
        let metric_name = format!("{PREFIX}{}_ms", to_metric_name(name));
        if last_name != *name {
            let _ = writeln!(text, "# TYPE {metric_name} histogram");
            last_name = name;
        }
        let mut cumulative = 0;
        for (bound, count) in BUCKET_BOUNDS_MS.iter().zip(histogram.buckets) {
            cumulative += count;
            let labels = format!("outcome=\"{outcome}\",le=\"{bound}\"");
            let _ = writeln!(text, "{metric_name}_bucket{{{labels}}} {cumulative}");
        }
        let Histogram { count, sum_ms, .. } = histogram;
        let _ = writeln!(
            text,
            "{metric_name}_bucket{{outcome=\"{outcome}\",le=\"+Inf\"}} {count}"
        );
        let _ = writeln!(text, "{metric_name}_sum{{outcome=\"{outcome}\"}} {sum_ms}");
        let _ = writeln!(text, "{metric_name}_count{{outcome=\"{outcome}\"}} {count}");
    }
    text
}

fn to_metric_name(name: &str) -> String {
    name.replace(['.', '-'], "_")
}
