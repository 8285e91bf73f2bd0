use serde_json::Value;

use crate::harness::Answer;

/// What a caller learns in the end about one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The whole answer of the executor.
    Answered(String),
    /// Refused as not run, with the code.
    NotRun(u64),
    /// Not known, with the code; zero if no gateway answered.
    NotKnown(u64),
}

impl Ending {
    /// Reads the answer to a request; none if the caller should try again elsewhere.
    pub(crate) fn of(answer: &Answer) -> Option<Self> {
        match (answer.status, answer.class()) {
            (200, _) => Some(Self::Answered(answer.text("answer").to_owned())),
            (_, Some("not_run")) => Some(Self::NotRun(code(&answer.body))),
            (_, Some("not_known")) => Some(Self::NotKnown(code(&answer.body))),
            _ => None,
        }
    }

    /// Reads the result of a job that has ended.
    pub(crate) fn of_result(result: &Value) -> Self {
        let refusal = &result["refusal"];
        match (result["outcome"].as_str(), refusal["class"].as_str()) {
            (Some("succeeded"), _) => {
                Self::Answered(result["answer"].as_str().unwrap_or_default().to_owned())
            }
            (Some("refused"), Some("not_run")) => Self::NotRun(code(refusal)),
            _ => Self::NotKnown(code(refusal)),
        }
    }

    pub(crate) fn is_answered(&self) -> bool {
        matches!(self, Self::Answered(_))
    }
}

fn code(refusal: &Value) -> u64 {
    refusal["code"].as_u64().unwrap_or_default()
}
