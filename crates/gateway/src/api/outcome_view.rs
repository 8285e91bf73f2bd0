use lagoon_core::work::Outcome;
use lagoon_process::answer::ErrorBody;
use serde::Serialize;

/// JSON form of the outcome of a request or job.
#[derive(Debug, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub(crate) enum OutcomeView {
    Succeeded { answer: String },
    Failed { error: String },
    Refused { refusal: ErrorBody },
}

impl From<Outcome> for OutcomeView {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Succeeded(answer) => Self::Succeeded { answer },
            Outcome::Failed(error) => Self::Failed { error },
            Outcome::Refused(refusal) => Self::Refused {
                refusal: ErrorBody::from(&refusal),
            },
        }
    }
}
