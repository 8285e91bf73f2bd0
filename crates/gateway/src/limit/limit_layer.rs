use std::sync::Arc;

use axum::Router;
use axum::body::HttpBody;
use axum::extract::Request;
use axum::middleware::{Next, from_fn};
use lagoon_process::answer::ErrorBody;
use lagoon_process::server::{Limits, discard_body};

use crate::limit::{InFlightLimiter, PermitBody};

/// Paths for operators, which must answer during a flood as well.
const EXEMPT_PATHS: [&str; 3] = ["/healthz", "/readyz", "/metrics"];

/// Gives each request a place before its body is read, or refuses it.
pub(crate) fn limit_requests(
    router: Router,
    in_flight: Arc<InFlightLimiter>,
    limits: Limits,
) -> Router {
    let check = move |req: Request, next: Next| {
        let in_flight = in_flight.clone();
        async move {
            if is_exempt(&req) {
                return next.run(req).await;
            }
            match in_flight.acquire() {
                Ok(permit) => PermitBody::attach(next.run(req).await, permit),
                Err(refusal) => {
                    discard_body(req.into_body(), limits).await;
                    ErrorBody::response(&refusal)
                }
            }
        }
    };
    router.layer(from_fn::<_, (Request,)>(check))
}

/// A request with a body takes memory whatever its path is.
fn is_exempt(req: &Request) -> bool {
    EXEMPT_PATHS.contains(&req.uri().path()) && req.body().is_end_stream()
}
