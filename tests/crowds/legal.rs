//! Single unusual clients inside the limits, each of which is served in calm.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::harness::{self, BoxError};
use crate::kind::Kind;
use crate::listener::Listener;

const ACCEPTED: &[u8] = b"HTTP/1.1 200 ";
/// Pieces and pause of a body of 256 KiB that arrives at 64 KiB/s.
const SLOW_PIECE: usize = 4 << 10;
const SLOW_PAUSE: Duration = Duration::from_micros(62_500);
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Size of each of the two header lines of a long head.
const LONG_LINE: usize = 8_000;

/// Writes of a client, each with the pause after it.
type Writes = Vec<(Vec<u8>, Duration)>;

/// Defines a test for each client and listener; the client expects a number of answers.
macro_rules! served {
    ($($(#[$meta:meta])* $writes:ident => $node:ident, $gateway:ident: $answers:literal;)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $node() {
                harness::run(async {
                    let listener = Listener::node().await?;
                    expect_answers(&listener, $writes(&listener), $answers).await
                });
            }

            $(#[$meta])*
            #[test]
            fn $gateway() {
                harness::run(async {
                    let listener = Listener::gateway().await?;
                    expect_answers(&listener, $writes(&listener), $answers).await
                });
            }
        )*
    };
}

served! {
    /// Guards against a limit on the rate of a body that slow links do not reach.
    slow_body => node_serves_slow_body, gateway_serves_slow_body: 1;
    /// Guards against a limit on heads below the 16 KiB that HTTP libraries send.
    long_head => node_serves_long_head, gateway_serves_long_head: 1;
    /// Guards against a limit on chunks that refuses a single body in chunks of one byte.
    small_chunks => node_serves_small_chunks, gateway_serves_small_chunks: 1;
    /// Guards against idle connections that are closed too early.
    idle_connection => node_serves_idle_connection, gateway_serves_idle_connection: 2;
    /// Guards against pipelined requests that are lost or mixed up.
    pipelined => node_serves_pipelined, gateway_serves_pipelined: 3;
    /// Guards against an empty line before a request, which HTTP allows, that is refused.
    empty_line => node_serves_empty_line, gateway_serves_empty_line: 1;
    /// Guards against a client that waits for `100 Continue` in vain.
    expects_continue => node_serves_expect_continue, gateway_serves_expect_continue: 1;
}

/// Sends `writes` on one connection and waits for `answers` answers with status 200.
async fn expect_answers(
    listener: &Listener,
    writes: Writes,
    answers: usize,
) -> Result<(), BoxError> {
    let stream = TcpStream::connect(listener.address()).await?;
    let (mut rx, mut tx) = stream.into_split();
    let writing = tokio::spawn(async move {
        for (bytes, pause) in writes {
            tx.write_all(&bytes).await?;
            tokio::time::sleep(pause).await;
        }
        Ok::<_, std::io::Error>(tx)
    });
    let mut received = Vec::new();
    while count(&received, ACCEPTED) < answers {
        if rx.read_buf(&mut received).await? == 0 {
            let text = String::from_utf8_lossy(&received);
            return Err(format!("the connection was closed after {text:?}").into());
        }
    }
    writing.await??;
    Ok(())
}

fn count(bytes: &[u8], pattern: &[u8]) -> usize {
    let windows = bytes.windows(pattern.len());
    windows.filter(|window| *window == pattern).count()
}

fn slow_body(listener: &Listener) -> Writes {
    let traffic = Kind::WholeBody.traffic(listener);
    let bytes = [traffic.bytes, traffic.end.unwrap_or_default()].concat();
    let pieces = bytes.chunks(SLOW_PIECE);
    pieces.map(|piece| (piece.to_vec(), SLOW_PAUSE)).collect()
}

fn long_head(listener: &Listener) -> Writes {
    let line = format!("x-filler: {}\r\n", "a".repeat(LONG_LINE));
    vec![(listener.request(&line.repeat(2)).into(), Duration::ZERO)]
}

fn small_chunks(listener: &Listener) -> Writes {
    let traffic = Kind::SmallChunks.traffic(listener);
    let bytes = [traffic.bytes, traffic.end.unwrap_or_default()].concat();
    vec![(bytes, Duration::ZERO)]
}

fn idle_connection(listener: &Listener) -> Writes {
    let request = listener.request("").into_bytes();
    vec![(request.clone(), IDLE_TIME), (request, Duration::ZERO)]
}

fn pipelined(listener: &Listener) -> Writes {
    vec![(listener.request("").repeat(3).into(), Duration::ZERO)]
}

fn empty_line(listener: &Listener) -> Writes {
    let request = listener.request("");
    vec![(format!("\r\n{request}").into(), Duration::ZERO)]
}

fn expects_continue(listener: &Listener) -> Writes {
    let request = listener.request("expect: 100-continue\r\n");
    let (head, body) = request.split_once("\r\n\r\n").unwrap_or_default();
    let pause = Duration::from_millis(200);
    vec![
        (format!("{head}\r\n\r\n").into(), pause),
        (body.into(), Duration::ZERO),
    ]
}
