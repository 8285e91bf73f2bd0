//! Group commit, claims, replay and the pace of commits.

#[path = "journal_model/entries.rs"]
mod journal_entries;

use journal_entries::{accepted, shard};
use lagoon_core::code::ResultCode;
use lagoon_core::id::{Epoch, Sequence};
use lagoon_core::journal::{
    Claim, Head, Journal, JournalEvent, JournalLimits, JournalState, Position, Replay, Retention,
    StoreRequest, StoreVersion,
};
use lagoon_core::unit::{Bytes, Timestamp};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn claim(owner: &str, current: Option<(Head, StoreVersion)>) -> Claim {
    let owner = owner.parse().unwrap();
    Claim::new(shard(), owner, "127.0.0.1:7001".to_owned(), current)
}

fn version(n: u64) -> StoreVersion {
    StoreVersion::new(n)
}

/// The first owner of a new shard, with the head at version 1.
fn journal() -> Journal {
    let head = claim("s1", None).head().clone();
    let limits = JournalLimits::default();
    let state = JournalState::new(limits.retention);
    Journal::new(shard(), head, version(1), state, limits)
}

/// A journal whose swap of one entry is outstanding.
fn swapping() -> (Journal, Head) {
    let mut journal = journal();
    journal.append(accepted(0, "")).unwrap();
    let Some(StoreRequest::SwapHead { value, .. }) = journal.next_request(at(0)) else {
        panic!("expected a swap");
    };
    (journal, Head::clone(&value))
}

/// Names the next write, so that a case fits on one line.
fn kind(write: Option<StoreRequest>) -> &'static str {
    match write {
        None => "none",
        Some(StoreRequest::PutSegment { .. }) => "segment",
        Some(StoreRequest::PutSnapshot { .. }) => "snapshot",
        Some(StoreRequest::SwapHead { .. }) => "swap",
        Some(StoreRequest::ReadHead { .. }) => "read",
        Some(StoreRequest::DeleteKeys { .. }) => "delete",
    }
}

macro_rules! next_writes {
    ($($(#[$doc:meta])* $name:ident: $answer:expr, $at:literal => $expected:literal, $committed:literal;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let (mut journal, head) = swapping();
                let answer: fn(&mut Journal, Head) = $answer;
                answer(&mut journal, head);
                assert_eq!(kind(journal.next_request(at($at))), $expected);
                assert_eq!(journal.committed_up_to(), Position::new($committed));
            }
        )*
    };
}

next_writes! {
    /// Guards against two writes at once.
    one_write_at_a_time: |_, _| {}, 0 => "none", 0;
    /// Guards against a confirmed entry that is not reported.
    written: |journal, _| drop(journal.on_written(version(2))), 0 => "none", 1;
    /// Guards against an answer to callers before the lost one is read back.
    lost_answer: |journal, _| drop(journal.on_unknown()), 0 => "read", 0;
    /// Guards against a conflict that is taken for a loss of the ownership, or for success.
    conflict: |journal, _| drop(journal.on_conflict(version(2))), 0 => "read", 0;
    /// Guards against a store that is called again at once after it refused.
    refused_waits: |journal, _| drop(journal.on_refused()), 99 => "none", 0;
    /// Guards against entries that are lost with a refused write.
    refused_retries: |journal, _| drop(journal.on_refused()), 100 => "swap", 0;
    /// Guards against a commit that took effect and is written again.
    lost_answer_took_effect: |journal, head| {
        journal.on_unknown();
        journal.next_request(at(0));
        journal.on_head(Some((head, version(2))));
    }, 0 => "none", 1;
    /// Guards against a commit that had no effect and is reported as durable.
    lost_answer_without_effect: |journal, _| {
        let base = journal.head().clone();
        journal.on_unknown();
        journal.next_request(at(0));
        journal.on_head(Some((base, version(1))));
    }, 0 => "swap", 0;
    /// Guards against a lost read after which nothing is read back.
    lost_read: |journal, _| {
        journal.on_unknown();
        journal.next_request(at(0));
        journal.on_unknown();
    }, 0 => "read", 0;
    /// Guards against a superseded owner that goes on.
    ownership_lost: |journal, head| {
        journal.on_unknown();
        journal.next_request(at(0));
        let successor = claim("s2", Some((head, version(2)))).head().clone();
        let events = journal.on_head(Some((successor, version(3))));
        let owner = "s2".parse().unwrap();
        assert_eq!(events, [JournalEvent::OwnershipLost { owner, epoch: Epoch::new(2) }]);
    }, 0 => "none", 0;
    /// Guards against a head that was changed under the same epoch and is taken for the owner's own.
    foreign_head: |journal, _| {
        let mut foreign = journal.head().clone();
        foreign.owner = "s3".parse().unwrap();
        journal.on_unknown();
        journal.next_request(at(0));
        let events = journal.on_head(Some((foreign, version(9))));
        assert!(matches!(events[..], [JournalEvent::HeadInvalid(_)]));
    }, 0 => "none", 0;
    /// Guards against an owner that recreates a deleted head.
    missing_head: |journal, _| {
        journal.on_unknown();
        journal.next_request(at(0));
        assert!(matches!(journal.on_head(None)[..], [JournalEvent::HeadInvalid(_)]));
    }, 0 => "none", 0;
}

/// Guards against a repeat that differs from a try that may still take effect: its entries would be told apart wrongly.
#[test]
fn write_in_doubt_is_repeated_unchanged() {
    let (mut journal, head) = swapping();
    let base = journal.head().clone();
    journal.on_unknown();
    journal.next_request(at(0));
    journal.on_head(Some((base, version(1))));
    journal.append(accepted(1, "")).unwrap();
    for now in [0, 1_000] {
        let Some(StoreRequest::SwapHead { value, .. }) = journal.next_request(at(now)) else {
            panic!("expected a swap");
        };
        assert_eq!(*value, head);
        journal.on_refused();
    }
}

/// Guards against a refusal as "not run" of an entry that may still become durable.
#[test]
fn write_in_doubt_counts_as_possibly_written() {
    let (mut journal, _) = swapping();
    let base = journal.head().clone();
    assert_eq!(journal.possibly_written_up_to(), Position::new(1));
    journal.append(accepted(1, "")).unwrap();
    journal.on_unknown();
    assert_eq!(journal.possibly_written_up_to(), Position::new(1));
    journal.next_request(at(0));
    journal.on_head(Some((base, version(1))));
    assert_eq!(journal.possibly_written_up_to(), Position::new(1));
}

/// Guards against an entry that is taken as possibly written although the store refused it.
#[test]
fn refused_write_is_not_possibly_written() {
    let (mut journal, _) = swapping();
    journal.on_refused();
    assert_eq!(journal.possibly_written_up_to(), Position::new(0));
}

/// Guards against a head that grows beyond its limit, and against a head that refers to a segment not yet written.
#[test]
fn long_tail_goes_to_a_segment_first() {
    let mut journal = journal();
    for n in 0..40 {
        journal.append(accepted(n, &"x".repeat(1_000))).unwrap();
    }
    let Some(StoreRequest::PutSegment { key, value }) = journal.next_request(at(0)) else {
        panic!("expected a segment");
    };
    assert_eq!(key, "shards/cluj/3/segment/1-0");
    assert_eq!(value.entries.len(), 40);
    journal.on_written(version(2));
    let Some(StoreRequest::SwapHead { value, .. }) = journal.next_request(at(0)) else {
        panic!("expected a swap");
    };
    assert!(value.tail.is_empty());
    assert_eq!(value.keys(&shard()), [key]);
    assert_eq!(value.next_work, Sequence::new(40));
    assert_eq!(journal.committed_up_to(), Position::new(0));
    journal.on_written(version(3));
    assert_eq!(journal.committed_up_to(), Position::new(40));
}

/// Guards against deletions that never take place on a shard where an entry always waits, and against commits that wait
/// for a deletion that keeps failing.
#[test]
fn deletions_take_turns_with_commits() {
    let mut journal = journal();
    let mut writes = Vec::new();
    journal.begin_snapshot();
    for n in 0..9 {
        if n == 2 {
            journal.begin_snapshot();
        }
        journal.append(accepted(n, "")).unwrap();
        let write = kind(journal.next_request(at(n)));
        writes.push(write);
        match write {
            "delete" => journal.on_unknown(),
            _ => journal.on_written(version(n + 2)),
        };
    }
    let expected = [
        "snapshot", "swap", "snapshot", "swap", "delete", "swap", "delete", "swap", "delete",
    ];
    assert_eq!(writes, expected);
}

/// Guards against an entry that no segment can hold and that blocks the journal.
#[test]
fn oversized_entry_is_refused() {
    let refusal = journal()
        .append(accepted(0, &"x".repeat(900_000)))
        .unwrap_err();
    assert_eq!(refusal.code, ResultCode::BodyTooLarge);
}

/// Guards against a replay that skips a segment that was not read.
#[test]
fn replay_needs_every_segment() {
    let mut journal = journal();
    for n in 0..40 {
        journal.append(accepted(n, &"x".repeat(1_000))).unwrap();
    }
    journal.next_request(at(0));
    journal.on_written(version(2));
    journal.next_request(at(0));
    journal.on_written(version(3));
    let replay = Replay::new(shard(), journal.head().clone(), Retention::default());
    assert_eq!(replay.missing().len(), 1);
    assert_eq!(replay.finish().unwrap_err().code, ResultCode::ShardStopped);
}

/// Guards against an entry limit that leaves no room behind a full tail.
#[test]
fn entry_limit_leaves_room() {
    let limits = JournalLimits::default();
    let sum = limits.entry().get() + limits.tail.get();
    assert!(Bytes::new(sum) < limits.value);
}
