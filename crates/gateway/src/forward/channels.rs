use std::net::SocketAddr;
use std::time::Duration;

use lagoon_process::Sharded;
use tonic::transport::{Channel, Endpoint};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval of pings that detect a dead host while requests wait for their responses.
const PING_INTERVAL: Duration = Duration::from_millis(2_000);
/// Long enough that a scheduler that is paused for a moment keeps its connections.
const PING_TIMEOUT: Duration = Duration::from_millis(5_000);

/// One connection to each scheduler, opened on first use.
#[derive(Debug)]
pub(crate) struct Channels {
    open: Sharded<SocketAddr, Channel>,
}

impl Channels {
    pub(crate) fn new() -> Self {
        Self {
            open: Sharded::new(),
        }
    }

    pub(crate) fn get(&self, address: SocketAddr) -> Channel {
        self.open.with(&address, |open| {
            let channel = open.entry(address).or_insert_with(|| connect(address));
            channel.clone()
        })
    }
}

fn connect(address: SocketAddr) -> Channel {
    Endpoint::from_shared(format!("http://{address}"))
        .expect("a socket address is a valid authority")
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .connect_lazy()
}
