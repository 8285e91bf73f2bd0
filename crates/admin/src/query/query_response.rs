use serde::Serialize;
use serde_json::{Map, Value};

use crate::query::SourceAge;
use crate::util::MissingSource;

/// JSON response to a query.
#[derive(Debug, Serialize)]
pub(crate) struct QueryResponse {
    /// Canonical text of the query.
    pub(crate) text: String,
    /// Column names, in order.
    pub(crate) columns: Vec<&'static str>,
    /// One object per row; fields without a value are absent.
    pub(crate) rows: Vec<Map<String, Value>>,
    /// Number of rows before the limit.
    pub(crate) total: usize,
    /// Sources of the rows.
    pub(crate) parts: Vec<SourceAge>,
    /// Sources that did not respond.
    pub(crate) missing: Vec<MissingSource>,
}
