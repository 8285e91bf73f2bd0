use std::sync::Arc;

use axum::Router;
use axum::body::HttpBody;
use axum::extract::Request;
use axum::middleware::{Next, from_fn};
use lagoon_process::answer::ErrorBody;
use lagoon_process::server::{Limits, discard_body};

use crate::limit::{Held, InFlight};

/// Paths for operators, which must answer during a flood as well.
const EXEMPT: [&str; 3] = ["/healthz", "/readyz", "/metrics"];

/// Gives each request a place before its body is read, or refuses it.
pub(crate) fn gated(router: Router, in_flight: Arc<InFlight>, limits: Limits) -> Router {
    let gate = move |req: Request, next: Next| {
        let in_flight = in_flight.clone();
        async move {
            if is_exempt(&req) {
                return next.run(req).await;
            }
            match in_flight.enter() {
                Ok(permit) => Held::response(next.run(req).await, permit),
                Err(refusal) => {
                    discard_body(req.into_body(), limits).await;
                    ErrorBody::response(&refusal)
                }
            }
        }
    };
    router.layer(from_fn::<_, (Request,)>(gate))
}

/// A request with a body takes memory whatever its path is.
fn is_exempt(req: &Request) -> bool {
    EXEMPT.contains(&req.uri().path()) && req.body().is_end_stream()
}
