//! Rendering of responses as tables, JSON or YAML.

mod table;

use serde_json::Value;

use crate::args::OutputFormat;

/// Renders a response.
pub(crate) fn render(format: OutputFormat, answer: &Value) -> String {
    match format {
        OutputFormat::Table => table::render(answer),
        OutputFormat::Json => format!("{answer:#}"),
        OutputFormat::Yaml => serde_saphyr::to_string(answer)
            .map(|text| text.trim_end().to_owned())
            .unwrap_or_else(|_| answer.to_string()),
    }
}
