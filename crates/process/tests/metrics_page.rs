//! Compares the page docs/metrics.md with the metrics emitted in the sources.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

const PAGE: &str = include_str!("../../../docs/metrics.md");
/// Module that implements metrics; skipped because its calls take names as arguments.
const IMPLEMENTATION: &str = "process/src/metrics";

/// Process, type and name of a metric.
type Metric = (String, &'static str, String);

fn crates() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() && !path.ends_with(IMPLEMENTATION) {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Returns the literal arguments at the start of `arguments`, or `None` if one of them is not a literal.
fn names(arguments: &str, count: usize) -> Option<Vec<String>> {
    let mut rest = arguments;
    let mut names = Vec::new();
    for _ in 0..count {
        rest = rest.trim_start().strip_prefix('"')?;
        let (name, after) = rest.split_once('"')?;
        names.push(name.to_owned());
        rest = after.trim_start().strip_prefix(',')?;
    }
    Some(names)
}

/// Returns the metrics in `text`, and the number of calls on a value named `metrics` whose metric name is not a
/// literal.
fn metrics_in(text: &str) -> (Vec<(&'static str, String)>, usize) {
    let mut found = Vec::new();
    let mut unnamed = 0;
    for (call, kind, count) in [
        (".count(", "counter", 1),
        (".gauge(", "gauge", 1),
        (".time(", "counter", 2),
        (".observe(", "histogram", 1),
    ] {
        for (start, _) in text.match_indices(call) {
            let names = names(&text[start + call.len()..], count);
            if names.is_none() && text[..start].trim_end().ends_with("metrics") {
                unnamed += 1;
            }
            found.extend(names.into_iter().flatten().map(|name| (kind, name)));
        }
    }
    (found, unnamed)
}

fn emitted() -> BTreeSet<Metric> {
    let mut all = BTreeSet::new();
    for folder in fs::read_dir(crates()).unwrap() {
        let folder = folder.unwrap().path();
        let mut files = Vec::new();
        if folder.join("src").is_dir() {
            sources(&folder.join("src"), &mut files);
        }
        for file in files {
            let (found, unnamed) = metrics_in(&fs::read_to_string(&file).unwrap());
            assert_eq!(
                unnamed,
                0,
                "{} has a metric whose name is not a literal",
                file.display()
            );
            let process = folder.file_name().unwrap().to_str().unwrap();
            all.extend(
                found
                    .into_iter()
                    .map(|(kind, name)| (process.to_owned(), kind, name)),
            );
        }
    }
    all
}

fn rows() -> Vec<[&'static str; 5]> {
    let rows = PAGE.lines().filter(|line| line.starts_with("| `"));
    let cells = |line: &'static str| {
        let cells = line.trim_matches('|').split('|').map(str::trim);
        let cells: Vec<&str> = cells.collect();
        cells
            .try_into()
            .unwrap_or_else(|_| panic!("{line} has not five columns"))
    };
    rows.map(cells).collect()
}

/// Guards against an emitted metric that is missing on the page, and against a listed metric that no process emits.
#[test]
fn page_lists_every_metric() {
    let row = |[name, process, kind, ..]: [&'static str; 5]| -> Metric {
        (process.to_owned(), kind, name.trim_matches('`').to_owned())
    };
    let listed: BTreeSet<Metric> = rows().into_iter().map(row).collect();
    assert_eq!(listed.len(), rows().len(), "a metric is listed twice");
    assert_eq!(listed, emitted());
}

/// Guards against a row without a unit or a meaning.
#[test]
fn rows_are_whole() {
    for row in rows() {
        assert!(row.iter().all(|cell| !cell.is_empty()), "{row:?}");
    }
}

macro_rules! scanned {
    ($($(#[$guard:meta])* $name:ident: $text:literal => [$($metric:expr),*], $unnamed:literal unnamed;)*) => {
        $(
            $(#[$guard])*
            #[test]
            fn $name() {
                let (found, unnamed) = metrics_in($text);
                let found: Vec<(&str, &str)> =
                    found.iter().map(|(kind, name)| (*kind, name.as_str())).collect();
                let expected: &[(&str, &str)] = &[$($metric),*];
                assert_eq!((&found[..], unnamed), (expected, $unnamed));
            }
        )*
    };
}

scanned! {
    /// Guards against a scan that finds no metrics, with which the comparison would prove nothing.
    count_on_one_line: "cx.metrics.count(\"a.b\", 1);" => [("counter", "a.b")], 0 unnamed;
    /// Guards against a call that is missed because rustfmt split it over several lines.
    call_on_several_lines: "metrics\n  .gauge(\n    \"a\",\n    1)" => [("gauge", "a")], 0 unnamed;
    /// Guards against a scan that misses the second metric of a `time` call.
    timed_call: "m.time(\"a\", \"b_ms\", t)" => [("counter", "a"), ("counter", "b_ms")], 0 unnamed;
    /// Guards against a metric that is missed because its name is not a literal.
    name_in_a_variable: "self.metrics.count(name, 1)" => [], 1 unnamed;
    /// Guards against `Iterator::count` being taken for a metric.
    iterator: "list.iter().count()" => [], 0 unnamed;
}
