use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Returns a loopback address that was free a moment ago.
///
/// The address belongs to this process: other programs on the machine rarely use anything but 127.0.0.1, so that the
/// port stays free until the child binds it. A conflict is still possible, and the cluster is then started again.
pub(crate) fn free_address() -> std::io::Result<SocketAddr> {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 64 | (high & 63), low, 1);
    TcpListener::bind((ip, 0))?.local_addr()
}
