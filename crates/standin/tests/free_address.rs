//! Addresses for processes that a test starts.

use std::collections::HashSet;

use lagoon_standin::free_address;

/// Guards against two processes of a test with one address: the kernel gives a closed port out again, and a test then
/// took the readiness of another process for that of a process that had failed to start.
#[test]
fn free_address_is_never_given_out_twice() {
    // Among so many random ports of about 28,000 some come twice almost surely.
    const ADDRESSES: usize = 2_000;
    let addresses: HashSet<_> = (0..ADDRESSES).map(|_| free_address().unwrap()).collect();
    assert_eq!(addresses.len(), ADDRESSES);
}
