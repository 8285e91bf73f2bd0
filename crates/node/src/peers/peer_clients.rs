use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoon_process::Sharded;
use lagoon_wire::v1::cell_peer_client::CellPeerClient;
use tonic::transport::{Channel, Endpoint};

/// Time-out for connecting; the slowest link between members has a round trip of 40 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two keep-alive pings on a connection with open calls, to detect a dead one.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time-out for the response to a ping.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Clients of the other members, each with one connection that is opened on first use.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerClients {
    channels: Arc<Sharded<SocketAddr, CellPeerClient<Channel>>>,
}

impl PeerClients {
    pub(crate) fn client(&self, address: SocketAddr) -> CellPeerClient<Channel> {
        let open = || {
            let endpoint = Endpoint::from_shared(format!("http://{address}"))
                .expect("a socket address makes a valid URI");
            let channel = endpoint
                .connect_timeout(CONNECT_TIMEOUT)
                .tcp_nodelay(true)
                .http2_keep_alive_interval(PROBE_INTERVAL)
                .keep_alive_timeout(PROBE_TIMEOUT)
                .connect_lazy();
            CellPeerClient::new(channel)
        };
        self.channels.with(&address, |map| {
            map.entry(address).or_insert_with(open).clone()
        })
    }
}
