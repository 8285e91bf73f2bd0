use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Mutex, PoisonError};

/// Addresses already returned by [`free_address`] in this process.
static RESERVED: Mutex<Option<HashSet<SocketAddr>>> = Mutex::new(None);

/// Returns a loopback address for a process that a test starts. Never returns the same address twice.
///
/// The IP address is derived from the process id. Other programs rarely bind anything but 127.0.0.1, so the port stays
/// free until the started process binds it, and while that process restarts. The kernel may reassign a port as soon as
/// it is closed here, so addresses that were returned before are skipped.
///
/// # Errors
///
/// Returns an error if no port can be bound.
pub fn free_address() -> std::io::Result<SocketAddr> {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 64 | (high & 63), low, 1);
    let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
    let reserved = reserved.get_or_insert_default();
    loop {
        let address = TcpListener::bind((ip, 0))?.local_addr()?;
        if reserved.insert(address) {
            return Ok(address);
        }
    }
}
