//! Rendezvous hashing.
//!
//! All hosts and versions must compute the same values, so the hash is implemented here: FNV-1a, then the finalizer of
//! SplitMix64, because FNV-1a alone mixes the last bytes too little to compare hashes.

use crate::id::{ProcessId, ShardId, ShardNumber, WorkerId};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns a hash of the parts in order, which is the same on every host and in every version.
pub fn stable_hash(parts: &[&str]) -> u64 {
    // The separator, which no name contains, distinguishes ("ab", "c") from ("a", "bc").
    let bytes = parts.iter().flat_map(|part| part.bytes().chain([0]));
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    finalize(hash)
}

fn finalize(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Returns the candidate with the highest hash of `key` and its name. The greater name wins a tie.
pub fn rendezvous<'a>(key: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let weight = |candidate: &str| stable_hash(&[key, candidate]);
    let weighted = candidates
        .into_iter()
        .map(|candidate| (weight(candidate), candidate));
    weighted.max().map(|(_, candidate)| candidate)
}

/// Returns the home shard of a worker among the shards `0..shards` of its failure domain, or `None` if there are none.
pub fn home_shard(worker: &WorkerId, shards: u16) -> Option<ShardNumber> {
    home_shard_among(worker, (0..shards).map(ShardNumber::new))
}

/// Returns the home shard of a worker among the given shards.
pub fn home_shard_among(
    worker: &WorkerId,
    shards: impl IntoIterator<Item = ShardNumber>,
) -> Option<ShardNumber> {
    let weight = |n: &ShardNumber| {
        (
            stable_hash(&[worker.as_str(), &n.get().to_string()]),
            n.get(),
        )
    };
    shards.into_iter().max_by_key(weight)
}

/// Returns the process that should own a shard, or `None` if there are no processes.
pub fn preferred_process<'a>(
    shard: &ShardId,
    processes: impl IntoIterator<Item = &'a ProcessId>,
) -> Option<&'a ProcessId> {
    let key = shard.to_string();
    let weight = |process: &&ProcessId| stable_hash(&[&key, process.as_str()]);
    let ordered = |a: &&ProcessId, b: &&ProcessId| weight(a).cmp(&weight(b)).then(a.cmp(b));
    processes.into_iter().max_by(ordered)
}
