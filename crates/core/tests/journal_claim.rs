//! Claims of a shard and the store keys of its journal.

use lagoon_core::id::{Epoch, Sequence, ShardId};
use lagoon_core::journal::{Claim, ClaimResult, Head, JournalKeys, SegmentRef, StoreVersion};

fn shard() -> ShardId {
    "cluj:3".parse().unwrap()
}

fn claim(owner: &str, current: Option<(Head, StoreVersion)>) -> Claim {
    let owner = owner.parse().unwrap();
    Claim::new(shard(), owner, "127.0.0.1:7001".to_owned(), current)
}

fn version(n: u64) -> StoreVersion {
    StoreVersion::new(n)
}

macro_rules! claim_results {
    ($($(#[$doc:meta])* $name:ident: $current:expr => $expected:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let base = claim("s1", None).head().clone();
                let claimed = claim("s2", Some((base.clone(), version(4))));
                let current: fn(Head, Head) -> Option<(Head, u64)> = $current;
                let current = current(base, claimed.head().clone());
                let current = current.as_ref().map(|(head, n)| (head, version(*n)));
                assert_eq!(claimed.evaluate(current), $expected);
            }
        )*
    };
}

claim_results! {
    /// Guards against abandoning a claim that took effect.
    claim_took_effect: |_, claimed| Some((claimed, 5)) => ClaimResult::Won(version(5));
    /// Guards against treating a claim without effect as won.
    claim_without_effect: |base, _| Some((base, 4)) => ClaimResult::Pending;
    /// Guards against two processes that both consider their claim won.
    other_claim_won: |base, _| Some((claim("s3", Some((base, version(4)))).head().clone(), 5))
        => ClaimResult::Superseded { owner: "s3".parse().unwrap(), epoch: Epoch::new(2) };
    /// Guards against restarting at the first epoch after the head was deleted.
    head_deleted: |_, _| None => ClaimResult::Missing;
}

/// Guards against segments of earlier owners that are never deleted, and against deleting one that is still referenced.
#[test]
fn orphans_are_unreferenced_keys_of_earlier_epochs() {
    let base = claim("s1", None).head().clone();
    let mut head = claim("s2", Some((base, version(1)))).head().clone();
    let reference = SegmentRef {
        epoch: Epoch::new(1),
        sequence: Sequence::new(0),
        parts: 1,
    };
    head.segments.push(reference);
    let keys = [
        "segment/1-0",
        "segment/1-1",
        "snapshot/1-0",
        "segment/2-1",
        "head",
    ];
    let keys = keys.map(|name| format!("shards/cluj/3/{name}"));
    assert_eq!(head.orphans(&shard(), &keys), keys[1..3]);
}

/// Guards against store keys that differ from the documented ones.
#[test]
fn key_names() {
    let keys = JournalKeys::new(&shard());
    let (epoch, sequence) = (Epoch::new(7), Sequence::new(15));
    assert_eq!(keys.head(), "shards/cluj/3/head");
    assert_eq!(keys.segment(epoch, sequence), "shards/cluj/3/segment/7-15");
    assert_eq!(
        keys.snapshot(epoch, sequence),
        "shards/cluj/3/snapshot/7-15"
    );
}
