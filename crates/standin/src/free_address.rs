use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Mutex, PoisonError};

/// Addresses that this process has given out.
static GIVEN_OUT: Mutex<Option<HashSet<SocketAddr>>> = Mutex::new(None);

/// Returns a loopback address for a process that a test starts, never the same one twice.
///
/// The host part belongs to this process: other programs on the machine rarely use anything but 127.0.0.1, so that the
/// port stays free until the process binds it, and again when it is restarted. The kernel may give a port out again as
/// soon as it is closed here, so that addresses given out earlier are passed over.
///
/// # Errors
///
/// Fails if no port can be bound.
pub fn free_address() -> std::io::Result<SocketAddr> {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 64 | (high & 63), low, 1);
    let mut given_out = GIVEN_OUT.lock().unwrap_or_else(PoisonError::into_inner);
    let given_out = given_out.get_or_insert_default();
    loop {
        let address = TcpListener::bind((ip, 0))?.local_addr()?;
        if given_out.insert(address) {
            return Ok(address);
        }
    }
}
