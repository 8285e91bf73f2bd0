use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::Request;
use axum::middleware::{Next, from_fn};
use http_body_util::BodyExt;
use lagoon_core::{Refusal, ResultCode};
use tokio::time::timeout;

use crate::answer::ErrorBody;
use crate::server::Limits;

/// An oversized body is read and dropped up to this multiple of the limit. A connection that is closed on unread data
/// is reset, and the sender would lose the answer.
const DISCARD_LIMIT_FACTOR: u64 = 4;

/// Reads each body whole before the router sees the request.
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
        let message = format!("the body did not arrive within {}", limits.read_timeout);
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
        let truncated = |_| Refusal::new(ResultCode::Malformed, "the body ended early");
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
        let message = format!("the body is larger than {}", limits.max_body);
        return Err(Refusal::new(ResultCode::BodyTooLarge, message));
    }
    Ok(buf.into())
}

/// Reads and drops the body of a refused request, within the limits, so that its sender doesn't lose the answer.
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
    // A sender that is too slow loses the answer.
    let _ = timeout(limits.read_timeout.to_duration(), discard_all).await;
}
