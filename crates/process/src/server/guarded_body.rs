use std::pin::Pin;
use std::task::{Context, Poll};

use axum::body::{Body, Bytes, HttpBody};
use axum::response::Response;
use hyper::body::{Frame, SizeHint};

/// Response body that holds a guard until it is written, because a response to a slow reader still takes memory.
#[derive(Debug)]
pub struct GuardedBody<G> {
    body: Body,
    _guard: G,
}

impl<G: Unpin + Send + 'static> GuardedBody<G> {
    /// Attaches `guard` to the body of `response`.
    pub fn attach(response: Response, guard: G) -> Response {
        response.map(|body| {
            Body::new(Self {
                body,
                _guard: guard,
            })
        })
    }
}

impl<G: Unpin> HttpBody for GuardedBody<G> {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
