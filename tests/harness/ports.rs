use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Returns a loopback address that was free a moment ago.
///
/// The address belongs to this process: other programs on the machine rarely use anything but 127.0.0.1, so that the
/// port stays free until the child binds it. A conflict is still possible, and the cluster is then started again.
pub(crate) fn free_address() -> std::io::Result<SocketAddr> {
    let [address] = free_addresses(1)?;
    Ok(address)
}

/// Returns several addresses like that, which differ from each other and from those of other hosts.
pub(crate) fn free_addresses<const N: usize>(host: u8) -> std::io::Result<[SocketAddr; N]> {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 64 | (high & 63), low, host);
    // All listen at the same time; a port that was given back may be given out again.
    let mut listeners = Vec::with_capacity(N);
    for _ in 0..N {
        listeners.push(TcpListener::bind((ip, 0))?);
    }
    let mut addresses = [SocketAddr::from((ip, 0)); N];
    for (address, listener) in addresses.iter_mut().zip(&listeners) {
        *address = listener.local_addr()?;
    }
    Ok(addresses)
}
