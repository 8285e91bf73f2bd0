use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::server::buffer_memory::BufferMemory;
use crate::server::close_reason::CloseReason;
use crate::server::connection::Connection;
use crate::server::limits::{MAX_HEAD, UNRESERVED};
use crate::server::reserved_memory::ReservedMemory;

/// Empty bytes before the first request after which the connection is closed. HTTP allows for one or a few empty lines.
const MAX_EMPTY_BYTES: usize = 1 << 10;

/// Largest number of bytes that are read at once. The HTTP library holds a few pieces of this size for each connection.
const READ_SIZE: usize = 8 << 10;

/// Stream of a client that bounds what the client can make the HTTP library hold or do.
#[derive(Debug)]
pub(super) struct ClientStream {
    stream: TcpStream,
    connection: Arc<Connection>,
    write_timeout: Duration,
    /// Empty bytes that were discarded; `None` once the first request has begun.
    empty_bytes: Option<usize>,
    /// Bytes of the current head.
    head_bytes: usize,
    /// Number of heads that had ended when `head_bytes` was last reset.
    ended_heads: u64,
    /// Reservation for a read buffer above [`UNRESERVED`], which keeps its size until the connection is closed.
    buffer: BufferMemory,
    /// Time limit of a write for which the client's window has no room.
    write_limit: Option<Pin<Box<Sleep>>>,
    /// Reader to wake when the client reads again.
    blocked_reader: Option<Waker>,
}

impl ClientStream {
    pub(super) fn new(
        stream: TcpStream,
        connection: Arc<Connection>,
        write_timeout: Duration,
    ) -> Self {
        Self {
            stream,
            connection,
            write_timeout,
            empty_bytes: Some(0),
            head_bytes: 0,
            ended_heads: 0,
            buffer: BufferMemory::Unreserved,
            write_limit: None,
            blocked_reader: None,
        }
    }

    /// Reads at most [`READ_SIZE`] bytes from the socket, and nothing while the client does not read its response.
    fn poll_read_some(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.write_limit.is_some() {
            self.blocked_reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let size = buf.remaining().min(READ_SIZE);
        let mut piece = ReadBuf::new(buf.initialize_unfilled_to(size));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut piece))?;
        let count = piece.filled().len();
        buf.advance(count);
        Poll::Ready(Ok(()))
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
            self.connection.record_close(CloseReason::EmptyLines);
            return Err(io::Error::other("empty lines instead of a request"));
        }
        if rest > 0 {
            self.empty_bytes = None;
        }
        Ok(())
    }

    /// Counts bytes of a head, and begins to reserve memory if the read buffer of the HTTP library has grown.
    fn count_head(&mut self, count: usize) {
        let ended_heads = self.connection.ended_heads();
        if self.ended_heads != ended_heads {
            self.ended_heads = ended_heads;
            self.head_bytes = 0;
        }
        if !self.connection.reads_head() {
            return;
        }
        if self.head_bytes == 0 {
            self.connection.begin_request();
        }
        self.head_bytes += count;
        let is_large = self.head_bytes as u64 > UNRESERVED.get();
        if is_large && matches!(self.buffer, BufferMemory::Unreserved) {
            let mut memory = ReservedMemory::new(self.connection.clone());
            let reservation = async move {
                let size = MAX_HEAD.saturating_sub(UNRESERVED);
                memory.grow(size).await.then_some(memory)
            };
            self.buffer = BufferMemory::Pending(Box::pin(reservation));
        }
    }

    /// Waits for the memory of a read buffer that has grown; fails if there is none.
    fn poll_buffer_memory(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let BufferMemory::Pending(reservation) = &mut self.buffer {
            let memory = ready!(reservation.as_mut().poll(cx));
            let _memory = memory.ok_or(io::ErrorKind::OutOfMemory)?;
            self.buffer = BufferMemory::Reserved { _memory };
        }
        Poll::Ready(Ok(()))
    }

    /// Ends the time limit of a write, and lets the reader go on.
    fn end_write_limit(&mut self) {
        if self.write_limit.take().is_some()
            && let Some(reader) = self.blocked_reader.take()
        {
            reader.wake();
        }
    }

    /// Fails if the client has not made room for a write within the time limit.
    fn poll_write_limit(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        let limit = self.write_limit.get_or_insert_with(|| {
            self.connection.set_waits_for_client(true);
            Box::pin(sleep(self.write_timeout))
        });
        ready!(limit.as_mut().poll(cx));
        self.connection.record_close(CloseReason::UnreadResponse);
        Poll::Ready(io::ErrorKind::TimedOut.into())
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_buffer_memory(cx))?;
        loop {
            let start = buf.filled().len();
            ready!(self.poll_read_some(cx, buf))?;
            let received = buf.filled().len() - start;
            self.discard_empty_lines(buf, start)?;
            let count = buf.filled().len() - start;
            if count > 0 {
                self.count_head(count);
            }
            if count > 0 || received == 0 {
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
        match Pin::new(&mut self.stream).poll_write(cx, data) {
            Poll::Pending => self.poll_write_limit(cx).map(Err),
            ready => {
                self.end_write_limit();
                ready
            }
        }
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
        match Pin::new(&mut self.stream).poll_write_vectored(cx, slices) {
            Poll::Pending => self.poll_write_limit(cx).map(Err),
            ready => {
                self.end_write_limit();
                ready
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
