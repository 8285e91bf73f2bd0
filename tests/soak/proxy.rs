use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Delay of each piece of a delayed link.
const DELAY: Duration = Duration::from_millis(150);

/// What a proxy does to the connections through it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Passes everything on.
    Pass,
    /// Passes everything on late.
    Delay,
    /// Resets connections, old and new.
    Reset,
    /// Passes nothing on and keeps connections open.
    Silent,
    /// Passes calls on and no answers.
    NoAnswers,
}

/// A loopback proxy in front of one address; ends when it is dropped.
#[derive(Debug)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    mode: watch::Sender<Mode>,
    _tasks: JoinSet<()>,
}

impl Proxy {
    pub(crate) async fn bind(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (mode, rx) = watch::channel(Mode::Pass);
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, target, rx));
        Ok(Self {
            address,
            mode,
            _tasks: tasks,
        })
    }

    pub(crate) fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mode: watch::Receiver<Mode>) {
    let mut links = JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        links.spawn(link(client, target, mode.clone()));
        while links.try_join_next().is_some() {}
    }
}

async fn link(client: TcpStream, target: SocketAddr, mut mode: watch::Receiver<Mode>) {
    // Closing without lingering sends a reset.
    let _ = client.set_zero_linger();
    if *mode.borrow() == Mode::Reset {
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
        _ = mode.wait_for(|mode| *mode == Mode::Reset) => {}
    }
}

/// Passes bytes on as the mode allows. What a silent link has read is lost, and the link stays silent for good, as when a
/// router between the two has lost its state.
async fn pump(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    mode: watch::Receiver<Mode>,
    is_answer: bool,
) {
    let mut buf = vec![0; 16 << 10];
    while let Ok(length) = rx.read(&mut buf).await
        && length > 0
    {
        let mode = *mode.borrow();
        match mode {
            Mode::Silent => std::future::pending().await,
            Mode::NoAnswers if is_answer => std::future::pending().await,
            Mode::Delay => tokio::time::sleep(DELAY).await,
            Mode::Pass | Mode::Reset | Mode::NoAnswers => {}
        }
        if tx.write_all(&buf[..length]).await.is_err() {
            return;
        }
    }
}
