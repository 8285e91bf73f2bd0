use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::server::close_log::CloseLog;
use crate::server::close_reason::CloseReason;

/// Empty bytes before the first request after which the connection is closed. HTTP allows for one or a few empty lines.
const MAX_EMPTY_BYTES: usize = 1 << 10;

/// Stream of a client that bounds what the client can make the HTTP library hold or do.
#[derive(Debug)]
pub(super) struct ClientStream {
    stream: TcpStream,
    log: Arc<CloseLog>,
    /// Empty bytes that were discarded; `None` once the first request has begun.
    empty_bytes: Option<usize>,
}

impl ClientStream {
    pub(super) fn new(stream: TcpStream, log: Arc<CloseLog>) -> Self {
        Self {
            stream,
            log,
            empty_bytes: Some(0),
        }
    }

    /// Removes empty lines before the first request from `buf`, whose new bytes begin at `start`. The HTTP library would
    /// buffer them, and parse all of them again with each read.
    fn discard_empty_lines(&mut self, buf: &mut ReadBuf<'_>, start: usize) -> io::Result<()> {
        let Some(discarded) = &mut self.empty_bytes else {
            return Ok(());
        };
        let new = &mut buf.filled_mut()[start..];
        let is_empty = |byte: &u8| matches!(byte, b'\r' | b'\n');
        let empty = new.iter().take_while(|byte| is_empty(byte)).count();
        let rest = new.len() - empty;
        new.copy_within(empty.., 0);
        buf.set_filled(start + rest);
        *discarded += empty;
        if *discarded > MAX_EMPTY_BYTES {
            self.log.record(CloseReason::EmptyLines);
            return Err(io::Error::other("empty lines instead of a request"));
        }
        if rest > 0 {
            self.empty_bytes = None;
        }
        Ok(())
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            let start = buf.filled().len();
            ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
            let received = buf.filled().len() - start;
            self.discard_empty_lines(buf, start)?;
            if buf.filled().len() > start || received == 0 {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, data)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
