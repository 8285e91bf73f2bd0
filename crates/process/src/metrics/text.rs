//! The text form of metrics.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::metrics::histogram::{BOUNDS, Histogram};
use crate::metrics::histograms::Series;

const PREFIX: &str = "lagoon_";

/// Renders counters and gauges (true), then histograms.
pub(crate) fn render(
    values: &BTreeMap<&'static str, (u64, bool)>,
    histograms: &BTreeMap<Series, Histogram>,
) -> String {
    let mut text = String::new();
    for (name, (amount, is_gauge)) in values {
        let (suffix, kind) = if *is_gauge {
            ("", "gauge")
        } else {
            ("_total", "counter")
        };
        let name = format!("{PREFIX}{}{suffix}", plain(name));
        let _ = writeln!(text, "# TYPE {name} {kind}\n{name} {amount}");
    }
    let mut last = "";
    for ((name, outcome), histogram) in histograms {
        let full = format!("{PREFIX}{}_ms", plain(name));
        if last != *name {
            let _ = writeln!(text, "# TYPE {full} histogram");
            last = name;
        }
        let mut below = 0;
        for (bound, count) in BOUNDS.iter().zip(histogram.buckets) {
            below += count;
            let labels = format!("outcome=\"{outcome}\",le=\"{bound}\"");
            let _ = writeln!(text, "{full}_bucket{{{labels}}} {below}");
        }
        let Histogram { count, sum_ms, .. } = histogram;
        let _ = writeln!(
            text,
            "{full}_bucket{{outcome=\"{outcome}\",le=\"+Inf\"}} {count}"
        );
        let _ = writeln!(text, "{full}_sum{{outcome=\"{outcome}\"}} {sum_ms}");
        let _ = writeln!(text, "{full}_count{{outcome=\"{outcome}\"}} {count}");
    }
    text
}

fn plain(name: &str) -> String {
    name.replace(['.', '-'], "_")
}
