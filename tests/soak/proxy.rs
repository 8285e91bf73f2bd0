use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Delay of each chunk on a delayed link.
const DELAY: Duration = Duration::from_millis(150);

/// Treatment of the connections through a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkMode {
    /// Forwards both directions.
    Pass,
    /// Forwards both directions after a delay.
    Delay,
    /// Resets existing and new connections.
    Reset,
    /// Forwards nothing and keeps connections open.
    Blackhole,
    /// Forwards calls but no responses.
    DropResponses,
}

/// Loopback proxy in front of one address; stops on drop.
#[derive(Debug)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    mode: watch::Sender<LinkMode>,
    _tasks: JoinSet<()>,
}

impl Proxy {
    pub(crate) async fn bind(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (mode, rx) = watch::channel(LinkMode::Pass);
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, target, rx));
        Ok(Self {
            address,
            mode,
            _tasks: tasks,
        })
    }

    pub(crate) fn set(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mode: watch::Receiver<LinkMode>) {
    let mut links = JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        links.spawn(link(client, target, mode.clone()));
        while links.try_join_next().is_some() {}
    }
}

async fn link(client: TcpStream, target: SocketAddr, mut mode: watch::Receiver<LinkMode>) {
    // With zero linger, close sends a TCP reset.
    let _ = client.set_zero_linger();
    if *mode.borrow() == LinkMode::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, server_tx) = server.into_split();
    tokio::select! {
        () = pump(client_rx, server_tx, mode.clone(), false) => {}
        () = pump(server_rx, client_tx, mode.clone(), true) => {}
        _ = mode.wait_for(|mode| *mode == LinkMode::Reset) => {}
    }
}

/// Forwards bytes according to the mode. A blackholed connection drops what it has read and never recovers, as if a
/// router between the two ends had lost its state.
async fn pump(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    mode: watch::Receiver<LinkMode>,
    is_response: bool,
) {
    let mut buf = vec![0; 16 << 10];
    while let Ok(length) = rx.read(&mut buf).await
        && length > 0
    {
        let mode = *mode.borrow();
        match mode {
            LinkMode::Blackhole => std::future::pending().await,
            LinkMode::DropResponses if is_response => std::future::pending().await,
            LinkMode::Delay => tokio::time::sleep(DELAY).await,
            LinkMode::Pass | LinkMode::Reset | LinkMode::DropResponses => {}
        }
        if tx.write_all(&buf[..length]).await.is_err() {
            return;
        }
    }
}
