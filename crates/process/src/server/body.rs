use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::Request;
use axum::middleware::{Next, from_fn};
use http_body_util::BodyExt;
use lagoon_core::{Refusal, ResultCode};
use tokio::time::timeout;

use crate::answer::ErrorBody;
use crate::server::Limits;

/// Multiple of the limit up to which an oversized body is read and discarded. Closing a connection with unread data
/// resets it, and the client would lose the response.
const DISCARD_LIMIT_FACTOR: u64 = 4;

/// Adds a layer that reads the whole body, within `limits`, before the router handles the request.
pub(super) fn with_body_limits(router: Router, limits: Limits) -> Router {
    let read_first = move |req: Request, next: Next| async move {
        let (parts, body) = req.into_parts();
        match read_all(body, limits).await {
            Ok(bytes) => {
                next.run(Request::from_parts(parts, Body::from(bytes)))
                    .await
            }
            Err(refusal) => ErrorBody::response(&refusal),
        }
    };
    router.layer(from_fn::<_, (Request,)>(read_first))
}

async fn read_all(body: Body, limits: Limits) -> Result<Bytes, Refusal> {
    let timed_out = || {
        let message = format!(
            "the request body did not arrive within {}",
            limits.read_timeout
        );
        Refusal::new(ResultCode::ReadTimeout, message)
    };
    let wait = limits.read_timeout.to_duration();
    timeout(wait, read_whole(body, limits))
        .await
        .map_err(|_| timed_out())?
}

async fn read_whole(mut body: Body, limits: Limits) -> Result<Bytes, Refusal> {
    let max = limits.max_body.get();
    let mut buf = Vec::new();
    let mut size: u64 = 0;
    while let Some(frame) = body.frame().await {
        let truncated = |_| Refusal::new(ResultCode::Malformed, "the request body was truncated");
        let Ok(data) = frame.map_err(truncated)?.into_data() else {
            continue;
        };
        size += data.len() as u64;
        if size <= max {
            buf.extend_from_slice(&data);
        } else if size > max.saturating_mul(DISCARD_LIMIT_FACTOR) {
            break;
        }
    }
    if size > max {
        let message = format!("the request body exceeds {}", limits.max_body);
        return Err(Refusal::new(ResultCode::BodyTooLarge, message));
    }
    Ok(buf.into())
}

/// Reads and discards the body of a refused request, within `limits`, so that the client receives the response instead
/// of a connection reset.
pub async fn discard(mut body: Body, limits: Limits) {
    let max_discarded = limits.max_body.get().saturating_mul(DISCARD_LIMIT_FACTOR);
    let discard_all = async {
        let mut size: u64 = 0;
        while let Some(Ok(frame)) = body.frame().await {
            size += frame.data_ref().map_or(0, |data| data.len() as u64);
            if size > max_discarded {
                break;
            }
        }
    };
    // A client that doesn't send the body in time may lose the response.
    let _ = timeout(limits.read_timeout.to_duration(), discard_all).await;
}
