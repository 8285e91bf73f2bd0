use lagoon_core::id::{FailureDomain, RequestKey, ShardId, ShardNumber};

/// Returns the home shard of a key, by rendezvous hashing over the shard numbers.
///
/// The hash function is defined here, because all gateways must choose the same shard, whatever their version or
/// toolchain.
pub(crate) fn home_shard(domain: &FailureDomain, shards: u16, key: &RequestKey) -> ShardId {
    let hash = fnv1a(key.as_str().as_bytes());
    let weight = |number: &u16| finalize(hash ^ finalize(u64::from(*number)));
    let number = (0..shards).max_by_key(weight).unwrap_or(0);
    ShardId::new(domain.clone(), ShardNumber::new(number))
}

/// FNV-1a with 64 bits.
fn fnv1a(bytes: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    bytes.iter().fold(OFFSET, step)
}

/// Finalizer of SplitMix64.
fn finalize(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
