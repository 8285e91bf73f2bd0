use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout_at};

use crate::traffic::Traffic;

const CLIENTS: usize = 500;
/// One in this many clients completes its request.
const COMPLETE_ONE_IN: usize = 10;
/// Connections that a client opens one after the other if the server closes them.
const CONNECTIONS_PER_CLIENT: usize = 3;
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// Time in which the clients send and connect again.
const SENDING_TIME: Duration = Duration::from_secs(6);

/// Connections that stay open until the crowd is dropped.
#[derive(Debug)]
pub(crate) struct Crowd {
    open: Vec<TcpStream>,
}

impl Crowd {
    /// Lets all clients send at the same time, and returns those connections that the server has not closed.
    pub(crate) async fn hold(address: SocketAddr, traffic: &Traffic) -> Self {
        let until = Instant::now() + SENDING_TIME;
        let mut clients = JoinSet::new();
        for number in 0..CLIENTS {
            let completes = number.is_multiple_of(COMPLETE_ONE_IN);
            clients.spawn(run_client(address, traffic.clone(), completes, until));
        }
        let open = clients.join_all().await.into_iter().flatten().collect();
        Self { open }
    }

    /// Returns the number of connections that the server has not closed.
    pub(crate) fn open(&self) -> usize {
        self.open.len()
    }

    /// Returns the number of clients.
    pub(crate) fn size(&self) -> usize {
        CLIENTS
    }
}

/// Sends the traffic until `until`, on a new connection each time that the server closes one.
async fn run_client(
    address: SocketAddr,
    traffic: Traffic,
    completes: bool,
    until: Instant,
) -> Option<TcpStream> {
    for _ in 0..CONNECTIONS_PER_CLIENT {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let sent_until_closed = async {
            send(&mut stream, &traffic, completes).await?;
            stream.read_to_end(&mut Vec::new()).await
        };
        if timeout_at(until, sent_until_closed).await.is_err() {
            return Some(stream);
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
    None
}

async fn send(stream: &mut TcpStream, traffic: &Traffic, completes: bool) -> std::io::Result<()> {
    for piece in traffic.bytes.chunks(traffic.piece) {
        stream.write_all(piece).await?;
    }
    if let (true, Some(end)) = (completes, &traffic.end) {
        stream.write_all(end).await?;
    }
    Ok(())
}
