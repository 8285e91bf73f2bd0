use serde_json::Value;

use crate::harness::Response;

/// Final outcome of a request or job as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Succeeded, with the complete answer.
    Succeeded(String),
    /// Refused as `not_run`, with the result code.
    NotRun(u64),
    /// Unknown, with the result code; zero if no gateway responded.
    NotKnown(u64),
}

impl Outcome {
    /// Returns the outcome in the response to a request, or `None` if the caller should retry at another gateway.
    pub(crate) fn from_response(response: &Response) -> Option<Self> {
        match (response.status, response.class()) {
            (200, _) => Some(Self::Succeeded(response.text("answer").to_owned())),
            (_, Some("not_run")) => Some(Self::NotRun(code(&response.body))),
            (_, Some("not_known")) => Some(Self::NotKnown(code(&response.body))),
            _ => None,
        }
    }

    /// Returns the outcome in the result of a job that has ended.
    pub(crate) fn from_result(result: &Value) -> Self {
        let refusal = &result["refusal"];
        match (result["outcome"].as_str(), refusal["class"].as_str()) {
            (Some("succeeded"), _) => {
                Self::Succeeded(result["answer"].as_str().unwrap_or_default().to_owned())
            }
            (Some("refused"), Some("not_run")) => Self::NotRun(code(refusal)),
            _ => Self::NotKnown(code(refusal)),
        }
    }

    pub(crate) fn is_succeeded(&self) -> bool {
        matches!(self, Self::Succeeded(_))
    }
}

fn code(refusal: &Value) -> u64 {
    refusal["code"].as_u64().unwrap_or_default()
}
