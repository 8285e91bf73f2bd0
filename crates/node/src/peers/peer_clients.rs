use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoon_process::Sharded;
use lagoon_wire::v1::cell_peer_client::CellPeerClient;
use tonic::transport::{Channel, Endpoint};

/// Time to connect; members are at most 40 ms apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two probes of a connection with open calls, so that a silent one is noticed.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// One connection to each other member, made when it is first needed.
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
