//! Addresses for processes that a test starts.

use std::collections::HashSet;

use lagoon_standin::free_address;

/// Guards against the same address for two processes of a test. The kernel reassigns closed ports, so a test mistook
/// the readiness of another process for that of one that had failed to start.
#[test]
fn free_address_is_never_given_out_twice() {
    // With about 28,000 ephemeral ports, 2,000 random choices almost certainly contain duplicates.
    const ADDRESSES: usize = 2_000;
    let addresses: HashSet<_> = (0..ADDRESSES).map(|_| free_address().unwrap()).collect();
    assert_eq!(addresses.len(), ADDRESSES);
}
