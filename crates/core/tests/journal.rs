//! Group commit, replay and the limits of the journal.

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

/// Returns the journal of the first owner of a new shard, with the head at version 1.
fn journal() -> Journal {
    let head = claim("s1", None).head().clone();
    let limits = JournalLimits::default();
    let state = JournalState::new(limits.retention);
    Journal::new(shard(), head, version(1), state, limits)
}

/// Returns a journal with an outstanding swap that contains one entry, and the proposed head.
fn swapping() -> (Journal, Head) {
    let mut journal = journal();
    journal.append(accepted(0, "")).unwrap();
    let Some(StoreRequest::SwapHead { value, .. }) = journal.next_request(at(0)) else {
        panic!("expected a swap");
    };
    (journal, Head::clone(&value))
}

/// Returns a short name of the next request, so that a test case fits on one line.
fn kind(request: Option<StoreRequest>) -> &'static str {
    match request {
        None => "none",
        Some(StoreRequest::PutSegment { .. }) => "segment",
        Some(StoreRequest::PutSnapshot { .. }) => "snapshot",
        Some(StoreRequest::SwapHead { .. }) => "swap",
        Some(StoreRequest::ReadHead { .. }) => "read",
        Some(StoreRequest::DeleteKeys { .. }) => "delete",
    }
}

macro_rules! next_requests {
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

next_requests! {
    /// Guards against two concurrent requests.
    one_request_at_a_time: |_, _| {}, 0 => "none", 0;
    /// Guards against a confirmed entry that is not counted as committed.
    written: |journal, _| drop(journal.on_written(version(2))), 0 => "none", 1;
    /// Guards against counting an entry as committed after a lost answer, before the head was read back.
    lost_answer: |journal, _| drop(journal.on_unknown()), 0 => "read", 0;
    /// Guards against treating a conflict as a loss of ownership or as success.
    conflict: |journal, _| drop(journal.on_conflict(version(2))), 0 => "read", 0;
    /// Guards against a retry without delay after the store refused a write.
    refused_waits: |journal, _| drop(journal.on_refused()), 99 => "none", 0;
    /// Guards against losing the entries of a refused write.
    refused_retries: |journal, _| drop(journal.on_refused()), 100 => "swap", 0;
    /// Guards against repeating a commit that took effect although its answer was lost.
    lost_answer_took_effect: |journal, head| {
        journal.on_unknown();
        journal.next_request(at(0));
        journal.on_head(Some((head, version(2))));
    }, 0 => "none", 1;
    /// Guards against reporting a commit without effect as durable.
    lost_answer_without_effect: |journal, _| {
        let base = journal.head().clone();
        journal.on_unknown();
        journal.next_request(at(0));
        journal.on_head(Some((base, version(1))));
    }, 0 => "swap", 0;
    /// Guards against a lost read that is not repeated.
    lost_read: |journal, _| {
        journal.on_unknown();
        journal.next_request(at(0));
        journal.on_unknown();
    }, 0 => "read", 0;
    /// Guards against a superseded owner that continues to write.
    ownership_lost: |journal, head| {
        journal.on_unknown();
        journal.next_request(at(0));
        let successor = claim("s2", Some((head, version(2)))).head().clone();
        let events = journal.on_head(Some((successor, version(3))));
        let owner = "s2".parse().unwrap();
        assert_eq!(events, [JournalEvent::OwnershipLost { owner, epoch: Epoch::new(2) }]);
    }, 0 => "none", 0;
    /// Guards against accepting a head that another process changed at the owner's epoch.
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

/// Guards against a repeated write that differs from a try that may still take effect. The owner could then not
/// determine which entries are durable.
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

/// Guards against refusing work as not run although its entry may still become durable.
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

/// Guards against counting an entry as possibly written after the store refused it.
#[test]
fn refused_write_is_not_possibly_written() {
    let (mut journal, _) = swapping();
    journal.on_refused();
    assert_eq!(journal.possibly_written_up_to(), Position::new(0));
}

/// Guards against a head above its size limit, and against a head that refers to a segment that is not written yet.
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

/// Guards against deletions that never take place on a shard that always has pending entries, and against commits that
/// are blocked by a deletion that keeps failing.
#[test]
fn deletions_alternate_with_commits() {
    let mut journal = journal();
    let mut requests = Vec::new();
    journal.begin_snapshot();
    for n in 0..9 {
        if n == 2 {
            journal.begin_snapshot();
        }
        journal.append(accepted(n, "")).unwrap();
        let request = kind(journal.next_request(at(n)));
        requests.push(request);
        match request {
            "delete" => journal.on_unknown(),
            _ => journal.on_written(version(n + 2)),
        };
    }
    let expected = [
        "snapshot", "swap", "snapshot", "swap", "delete", "swap", "delete", "swap", "delete",
    ];
    assert_eq!(requests, expected);
}

/// Guards against an entry that is too large for a segment and blocks the journal.
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

/// Guards against an entry limit that leaves no space after a full tail.
#[test]
fn entry_limit_leaves_room() {
    let limits = JournalLimits::default();
    let sum = limits.entry().get() + limits.tail.get();
    assert!(Bytes::new(sum) < limits.value);
}
