use std::collections::BTreeMap;

use lagoon_core::unit::Resources;
use lagoon_language::syntax::{Field, Table, Value};
use serde_json::Map;

/// A row of a table.
#[derive(Debug, Clone)]
pub(crate) struct Row(BTreeMap<&'static str, Value>);

impl Row {
    /// Builds a row. `value` returns the value of the named field, or `None` if it has none.
    pub(super) fn new(table: Table, value: impl Fn(&str) -> Option<Value>) -> Self {
        let fields = table.fields().iter();
        let cells = fields.filter_map(|field| Some((field.name(), value(field.name())?)));
        Self(cells.collect())
    }

    /// Builds a row of a `count by` query.
    pub(super) fn counted(field: Field, value: Option<Value>, count: u64) -> Self {
        let counted = [("count", Value::Number(count))].into_iter();
        Self(
            counted
                .chain(value.map(|value| (field.name(), value)))
                .collect(),
        )
    }

    pub(super) fn get(&self, name: &str) -> Option<&Value> {
        self.0.get(name)
    }

    /// Converts the row to a JSON object. Numbers stay numbers; other values become strings with their unit.
    pub(super) fn to_json(&self) -> Map<String, serde_json::Value> {
        let json = |value: &Value| match value {
            Value::Number(number) => (*number).into(),
            other => other.to_unquoted().into(),
        };
        let cells = self.0.iter();
        cells
            .map(|(name, value)| ((*name).to_owned(), json(value)))
            .collect()
    }
}

/// Returns a text value, or `None` if the text is empty.
pub(super) fn text(text: impl ToString) -> Option<Value> {
    let text = text.to_string();
    (!text.is_empty()).then_some(Value::Text(text))
}

pub(super) fn number(number: impl Into<u64>) -> Option<Value> {
    Some(Value::Number(number.into()))
}

/// Returns the resource dimension with the given column name.
pub(super) fn dimension(resources: &Resources, name: &str) -> Option<Value> {
    match name {
        "cpu" => Some(Value::Cores(resources.cpu)),
        "memory" => Some(Value::Size(resources.memory)),
        "accelerators" => number(resources.accelerators.get()),
        _ => None,
    }
}
