use std::pin::Pin;
use std::task::{Context, Poll};

use axum::body::{Body, Bytes, HttpBody};
use axum::response::Response;
use hyper::body::{Frame, SizeHint};

/// Response body that holds a permit until it is written, because a response to a slow reader still takes memory.
#[derive(Debug)]
pub(crate) struct PermitBody<P> {
    body: Body,
    _permit: P,
}

impl<P: Unpin + Send + 'static> PermitBody<P> {
    /// Attaches `permit` to the body of `response`.
    pub(crate) fn attach(response: Response, permit: P) -> Response {
        response.map(|body| {
            Body::new(Self {
                body,
                _permit: permit,
            })
        })
    }
}

impl<P: Unpin> HttpBody for PermitBody<P> {
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
