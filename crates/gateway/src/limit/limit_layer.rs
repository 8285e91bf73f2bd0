use std::sync::Arc;

use axum::Router;
use axum::body::HttpBody;
use axum::extract::Request;
use axum::middleware::{Next, from_fn};
use lagoon_process::answer::ErrorBody;
use lagoon_process::server::{GuardedBody, Limits, discard_body};

use crate::limit::InFlightLimiter;

/// Paths for operators, which must also be served under overload.
const EXEMPT_PATHS: [&str; 3] = ["/healthz", "/readyz", "/metrics"];

/// Adds a layer that acquires a permit for each request before its body is read, or refuses the request.
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
                Ok(permit) => GuardedBody::attach(next.run(req).await, permit),
                Err(refusal) => {
                    discard_body(req.into_body(), limits).await;
                    ErrorBody::response(&refusal)
                }
            }
        }
    };
    router.layer(from_fn::<_, (Request,)>(check))
}

/// Requests with a body are never exempt, because a body takes memory whatever the path.
fn is_exempt(req: &Request) -> bool {
    EXEMPT_PATHS.contains(&req.uri().path()) && req.body().is_end_stream()
}
