use std::net::SocketAddr;
use std::time::Duration;

use lagoon_process::Sharded;
use tonic::transport::{Channel, Endpoint};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// One gRPC channel per scheduler, opened on first use.
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

    /// Closes the channel to a scheduler that is no longer a member.
    pub(crate) fn remove(&self, address: SocketAddr) {
        self.open.with(&address, |open| open.remove(&address));
    }
}

fn connect(address: SocketAddr) -> Channel {
    Endpoint::from_shared(format!("http://{address}"))
        .expect("a socket address is a valid authority")
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .connect_lazy()
}
