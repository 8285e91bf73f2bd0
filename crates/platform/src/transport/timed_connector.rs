use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use tokio::time::Instant;
use tower_service::Service;

use crate::transport::timed_stream::TimedStream;

type ConnectError = <HttpConnector as Service<Uri>>::Error;

/// Opens connections that know when they were established.
#[derive(Debug, Clone)]
pub(crate) struct TimedConnector(pub(crate) HttpConnector);

impl Service<Uri> for TimedConnector {
    type Response = TimedStream;
    type Error = ConnectError;
    type Future = Pin<Box<dyn Future<Output = Result<TimedStream, ConnectError>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), ConnectError>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        Box::pin(async move {
            let stream = connecting.await?;
            Ok(TimedStream::new(stream, Instant::now()))
        })
    }
}
