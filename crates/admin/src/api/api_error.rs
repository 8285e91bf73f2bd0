use axum::response::{IntoResponse, Response};
use lagoon_core::Refusal;
use lagoon_process::answer::ErrorBody;

/// A refusal as a handler's error response.
#[derive(Debug)]
pub(crate) struct ApiError(Refusal);

impl From<Refusal> for ApiError {
    fn from(refusal: Refusal) -> Self {
        Self(refusal)
    }
}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        ErrorBody::response(&self.0)
    }
}
