use std::sync::Arc;

use axum::Router;
use axum::body::{Body, Bytes, HttpBody};
use axum::extract::Request;
use axum::middleware::{Next, from_fn};
use http_body_util::BodyExt;
use lagoon_core::unit::Millis;
use lagoon_core::{Refusal, ResultCode};
use tokio::task::yield_now;
use tokio::time::timeout;

use crate::answer::ErrorBody;
use crate::server::body_buffer::BodyBuffer;
use crate::server::body_pools::BodyPools;
use crate::server::connection::Connection;
use crate::server::exchange::{Exchange, Receiving};
use crate::server::limits::SMALL_CHUNK_RATE;
use crate::server::small_chunk_pacer::SmallChunkPacer;
use crate::server::{GuardedBody, Limits};

/// Multiple of the limit up to which an oversized body is read and discarded. Closing a connection with unread data
/// resets it, and the client would lose the response.
const DISCARD_LIMIT_FACTOR: u64 = 4;
/// Size below which a chunk is paced.
const SMALL_CHUNK: usize = 64;
/// Number of small chunks that are admitted together. Requests with fewer are not delayed.
const SMALL_CHUNKS_ADMITTED: u32 = 256;
/// Delay that a client is told whose body finds no memory. Most requests end within a second.
const RETRY_AFTER: Millis = Millis::new(1_000);

/// Adds a layer that reads the whole body, within `limits`, before the router handles the request.
pub(super) fn with_body_limits(router: Router, limits: Limits) -> Router {
    let pacer = Arc::new(SmallChunkPacer::new(
        SMALL_CHUNK_RATE,
        limits.max_body.get(),
    ));
    let pools = Arc::new(BodyPools::new(limits));
    let read_first = move |mut req: Request, next: Next| {
        let (pacer, pools) = (pacer.clone(), pools.clone());
        async move {
            let connection = req.extensions_mut().remove::<Arc<Connection>>();
            let connection = connection.expect("the server adds its connection to each request");
            if connection.ended_heads() > 0 {
                // A client that sends many requests at once takes turns with all others.
                yield_now().await;
            }
            let mut exchange = Exchange::begin(connection);
            let (parts, body) = req.into_parts();
            let buf = BodyBuffer::new(body.size_hint().exact(), pools);
            match read_all(body, buf, limits, &mut exchange, &pacer).await {
                Ok(bytes) => {
                    let exchange = exchange.complete();
                    let req = Request::from_parts(parts, Body::from(bytes));
                    GuardedBody::attach(next.run(req).await, exchange)
                }
                Err(refusal) => GuardedBody::attach(ErrorBody::response(&refusal), exchange),
            }
        }
    };
    router.layer(from_fn::<_, (Request,)>(read_first))
}

async fn read_all(
    body: Body,
    buf: BodyBuffer,
    limits: Limits,
    exchange: &mut Exchange<Receiving>,
    pacer: &SmallChunkPacer,
) -> Result<Bytes, Refusal> {
    let timed_out = || {
        let message = format!(
            "the request body did not arrive within {}",
            limits.read_timeout
        );
        Refusal::new(ResultCode::ReadTimeout, message)
    };
    let wait = limits.read_timeout.to_duration();
    timeout(wait, read_whole(body, buf, limits, exchange, pacer))
        .await
        .map_err(|_| timed_out())?
}

async fn read_whole(
    mut body: Body,
    mut buf: BodyBuffer,
    limits: Limits,
    exchange: &mut Exchange<Receiving>,
    pacer: &SmallChunkPacer,
) -> Result<Bytes, Refusal> {
    let max = limits.max_body.get();
    let mut size: u64 = 0;
    let mut small_chunks = 0;
    while let Some(frame) = body.frame().await {
        let truncated = |_| Refusal::new(ResultCode::Malformed, "the request body was truncated");
        let Ok(data) = frame.map_err(truncated)?.into_data() else {
            continue;
        };
        size += data.len() as u64;
        if size > max {
            drop(buf);
            discard_rest(body, max.saturating_mul(DISCARD_LIMIT_FACTOR) - size).await;
            let message = format!("the request body exceeds {}", limits.max_body);
            return Err(Refusal::new(ResultCode::BodyTooLarge, message));
        }
        if !exchange.reserve(buf.reserved(size)).await {
            drop(buf);
            discard_rest(body, max - size).await;
            let message = "the memory for requests is used up; this request was not processed";
            return Err(Refusal::new(ResultCode::Overloaded, message).retry_after(RETRY_AFTER));
        }
        buf.push(&data);
        if data.len() < SMALL_CHUNK {
            small_chunks += 1;
            if small_chunks == SMALL_CHUNKS_ADMITTED {
                small_chunks = 0;
                pacer.admit(SMALL_CHUNKS_ADMITTED).await;
            }
        }
    }
    Ok(buf.into_bytes())
}

/// Reads and discards the body of a refused request, within `limits`, so that the client receives the response instead
/// of a connection reset.
pub async fn discard(body: Body, limits: Limits) {
    let max_discarded = limits.max_body.get().saturating_mul(DISCARD_LIMIT_FACTOR);
    let wait = limits.read_timeout.to_duration();
    // A client that doesn't send the body in time may lose the response.
    let _ = timeout(wait, discard_rest(body, max_discarded)).await;
}

/// Reads and discards up to `max` bytes.
async fn discard_rest(mut body: Body, max: u64) {
    let mut size: u64 = 0;
    while let Some(Ok(frame)) = body.frame().await {
        size += frame.data_ref().map_or(0, |data| data.len() as u64);
        if size > max {
            return;
        }
    }
}
