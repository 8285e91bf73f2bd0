//! The operators' API. Every error is a numbered code in the same JSON form as that of the other programs.

mod api_error;
mod handlers;
mod parse;
mod text_body;

use std::sync::Arc;

use axum::Router;
use axum::routing::post;
use lagoon_core::{Refusal, ResultCode};

use self::api_error::ApiError;
use crate::access::Operators;
use crate::change::{Applier, Planner};
use crate::query::Queries;

/// What the handlers share.
#[derive(Debug)]
pub(crate) struct Api {
    pub(crate) operators: Operators,
    pub(crate) queries: Queries,
    pub(crate) planner: Planner,
    pub(crate) applier: Arc<Applier>,
}

/// Routes of the API.
pub(crate) fn router(api: Arc<Api>) -> Router {
    Router::new()
        .route("/v1/query", post(handlers::query))
        .route("/v1/preview", post(handlers::preview))
        .route("/v1/apply", post(handlers::apply))
        .fallback(unknown_route)
        .method_not_allowed_fallback(unknown_route)
        .with_state(api)
}

async fn unknown_route() -> ApiError {
    let message = "the path or method does not exist";
    Refusal::new(ResultCode::UnknownRoute, message).into()
}
