//! HTTP handlers of the operators' API. Errors are numbered result codes in the JSON format shared by all daemons.

mod api_error;
mod handlers;
mod parse;
mod statement_request;

use std::sync::Arc;

use axum::Router;
use axum::routing::post;
use lagoon_core::{Refusal, ResultCode};

use self::api_error::ApiError;
use crate::auth::Authenticator;
use crate::change::{Applier, Planner};
use crate::query::QueryRunner;

/// State shared by the handlers.
#[derive(Debug)]
pub(crate) struct ApiState {
    pub(crate) operators: Authenticator,
    pub(crate) queries: QueryRunner,
    pub(crate) planner: Planner,
    pub(crate) applier: Arc<Applier>,
}

/// Returns the routes of the API.
pub(crate) fn router(api: Arc<ApiState>) -> Router {
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
