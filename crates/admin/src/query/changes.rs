use lagoon_core::unit::Timestamp;
use lagoon_language::syntax::{Table, Value};

use crate::audit::Record;
use crate::query::Row;
use crate::query::row::text;

/// Returns the rows of the table `changes`, latest first.
pub(super) fn change_rows(records: &[Record], now: Timestamp) -> Vec<Row> {
    let row = |record: &Record| Row::new(Table::Changes, |field| value(record, field, now));
    records.iter().rev().map(row).collect()
}

fn value(record: &Record, field: &str, now: Timestamp) -> Option<Value> {
    match field {
        "at" => text(record.at),
        "age" => Some(Value::Duration(record.at.age(now))),
        "operator" => text(&record.operator),
        "command" => text(&record.command),
        "text" => text(&record.text),
        "preview" => text(&record.preview),
        "before" => text(&record.before),
        "after" => text(&record.after),
        "result" => text(&record.result),
        "late" => text(if record.late { "yes" } else { "no" }),
        _ => None,
    }
}
