use serde_json::Value;

/// Columns of a list of jobs: header and JSON pointer into the job.
const JOB_COLUMNS: [(&str, &str); 8] = [
    ("WORK", "/work"),
    ("STATE", "/state"),
    ("KIND", "/kind"),
    ("TEAM", "/team"),
    ("PRIORITY", "/priority"),
    ("MEMBERS", "/members"),
    ("CPU", "/resources/cpu"),
    ("MEMORY", "/resources/memory"),
];

/// Columns of a list of executors: header and JSON pointer into the executor.
const EXECUTOR_COLUMNS: [(&str, &str); 8] = [
    ("EXECUTOR", "/executor"),
    ("AVAILABILITY", "/availability"),
    ("FREE CPU", "/free/cpu"),
    ("FREE MEMORY", "/free/memory"),
    ("RUNS", "/runs"),
    ("RESTS FOR", "/rests_for"),
    ("HEARD AGO", "/heard_ago"),
    ("SILENT", "/silent"),
];

/// Renders a list of jobs or executors as a table, a list of tickets as lines, and anything else as keys and values.
pub(crate) fn render(answer: &Value) -> String {
    if let Some(jobs) = answer["jobs"].as_array() {
        return render_jobs(answer, jobs);
    }
    if let Some(executors) = answer["executors"].as_array() {
        return align(&columns(&EXECUTOR_COLUMNS, executors));
    }
    if let Some(tickets) = answer["tickets"].as_array() {
        let lines: Vec<String> = tickets.iter().map(to_text).collect();
        return lines.join("\n");
    }
    let mut rows = Vec::new();
    collect_rows("", answer, &mut rows);
    align(&rows)
}

fn render_jobs(answer: &Value, jobs: &[Value]) -> String {
    let mut text = align(&columns(&JOB_COLUMNS, jobs));
    if answer["truncated"] == true {
        text.push_str("\nThere are more jobs than the limit.");
    }
    let missing = answer["incomplete"]
        .as_array()
        .map_or(&[][..], Vec::as_slice);
    if !missing.is_empty() {
        let shards: Vec<String> = missing.iter().map(to_text).collect();
        text.push_str(&format!("\nNo answer from shards {}.", shards.join(", ")));
    }
    text
}

fn columns(columns: &[(&str, &str)], entries: &[Value]) -> Vec<Vec<String>> {
    let headers = columns.iter().map(|(header, _)| (*header).to_owned());
    let mut rows = vec![headers.collect::<Vec<_>>()];
    rows.extend(entries.iter().map(|entry| {
        let cell = |(_, path): &(&str, &str)| match entry.pointer(path) {
            None | Some(Value::Null) => "-".to_owned(),
            Some(value) => to_text(value),
        };
        columns.iter().map(cell).collect()
    }));
    rows
}

fn collect_rows(path: &str, value: &Value, rows: &mut Vec<Vec<String>>) {
    match value {
        Value::Object(map) => {
            for (key, value) in map {
                let path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                collect_rows(&path, value, rows);
            }
        }
        other => rows.push(vec![path.to_owned(), to_text(other)]),
    }
}

fn to_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(to_text).collect::<Vec<_>>().join(", "),
        other => other.to_string(),
    }
}

fn align(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths);
        let padded: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        padded.join("  ").trim_end().to_owned()
    };
    rows.iter().map(line).collect::<Vec<_>>().join("\n")
}
