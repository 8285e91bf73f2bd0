use serde::Serialize;
use serde_json::{Map, Value};

use crate::query::PartAge;
use crate::util::Missing;

/// JSON answer to a query.
#[derive(Debug, Serialize)]
pub(crate) struct Answer {
    /// Canonical text of the query.
    pub(crate) text: String,
    /// Names of the columns in their order.
    pub(crate) columns: Vec<&'static str>,
    /// One object a row; a field without a value is absent.
    pub(crate) rows: Vec<Map<String, Value>>,
    /// Number of rows before the limit.
    pub(crate) total: usize,
    /// Who contributed.
    pub(crate) parts: Vec<PartAge>,
    /// Who did not answer.
    pub(crate) missing: Vec<Missing>,
}
