use serde_json::Value;

/// Answer of an HTTP server.
#[derive(Debug, Clone)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

impl Answer {
    /// Returns the class of a refusal: `not_run`, `not_known` or `elsewhere`.
    pub(crate) fn class(&self) -> Option<&str> {
        self.body["class"].as_str()
    }

    /// Returns the text of a field.
    pub(crate) fn text(&self, field: &str) -> &str {
        self.body[field].as_str().unwrap_or_default()
    }
}
