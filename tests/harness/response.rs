use serde_json::Value;

/// Status and JSON body of an HTTP response.
#[derive(Debug, Clone)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

impl Response {
    /// Returns the class of a refusal (`not_run`, `not_known` or `elsewhere`), or `None` if it is not a refusal.
    pub(crate) fn class(&self) -> Option<&str> {
        self.body["class"].as_str()
    }

    /// Returns a text field of the body, or an empty text if it is missing.
    pub(crate) fn text(&self, field: &str) -> &str {
        self.body[field].as_str().unwrap_or_default()
    }
}
