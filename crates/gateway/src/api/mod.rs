//! HTTP API for callers. All errors have a numbered code and the same JSON form. Input is fully validated before it is
//! forwarded to a scheduler.

mod api_error;
mod job_body;
mod job_list;
mod job_view;
mod jobs;
mod key;
mod list_query;
mod outcome_view;
mod parse;
mod request_body;
mod resources_body;
mod submission;
mod ticket_body;
mod tickets;

use std::sync::Arc;

use axum::Router;
use axum::routing::{delete, get, post};
use lagoon_core::id::FailureDomain;
use lagoon_core::unit::Millis;
use lagoon_core::{Refusal, ResultCode};
use lagoon_process::{Clock, Metrics};

use self::api_error::ApiError;
use crate::access::AccessList;
use crate::forward::Forwarder;
use crate::limit::InFlightLimiter;
use crate::routing::HomeResolver;

/// State shared by the handlers.
#[derive(Debug)]
pub(crate) struct Api {
    pub(crate) domain: FailureDomain,
    pub(crate) shards: u16,
    pub(crate) home_resolver: HomeResolver,
    pub(crate) access: AccessList,
    pub(crate) forwarder: Forwarder,
    pub(crate) in_flight: Arc<InFlightLimiter>,
    pub(crate) request_timeout: Millis,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
}

/// Returns the routes of the API.
pub(crate) fn router(api: Arc<Api>) -> Router {
    Router::new()
        .route("/v1/tickets", post(tickets::issue))
        .route("/v1/tickets/{ticket}", delete(tickets::confirm))
        .route("/v1/requests", post(submission::run_request))
        .route("/v1/jobs", post(submission::submit_job).get(jobs::list))
        .route("/v1/jobs/{work}", get(jobs::show).delete(jobs::cancel))
        .fallback(unknown_route)
        .method_not_allowed_fallback(unknown_route)
        .with_state(api)
}

async fn unknown_route() -> ApiError {
    let message = "the path or method does not exist";
    Refusal::new(ResultCode::UnknownRoute, message).into()
}
