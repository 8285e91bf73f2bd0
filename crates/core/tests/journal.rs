//! Group commit, claims, replay and the pace of commits.

use std::sync::Arc;

use lagoon_core::code::{Refusal, ResultCode};
use lagoon_core::id::{Epoch, Sequence, ShardId, WorkId};
use lagoon_core::journal::{
    Claim, ClaimResult, CommitPace, Head, Journal, JournalEntry, JournalEvent, JournalKeys,
    JournalLimits, JournalState, JournalWrite, Position, Replay, Retention, StoreVersion,
    json_size,
};
use lagoon_core::unit::{Bytes, Millis, Rate, Resources, Timestamp};
use lagoon_core::work::{Outcome, PlacementPolicy, Repeatability, WorkKind, WorkSpec};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn shard() -> ShardId {
    "cluj:3".parse().unwrap()
}

fn work(sequence: u64) -> WorkId {
    WorkId::new(shard(), Epoch::new(1), Sequence::new(sequence))
}

fn spec(payload: &str) -> WorkSpec {
    WorkSpec {
        kind: WorkKind::Batch,
        team: "t1".parse().unwrap(),
        priority: "80".parse().unwrap(),
        deadline: Some(at(9)),
        resources: Resources::default(),
        members: 1,
        run_time: Millis::new(5),
        repeatability: Repeatability::AtMostOnce,
        placement: PlacementPolicy::default(),
        service: None,
        payload: payload.to_owned(),
    }
}

fn accepted(sequence: u64, payload: &str) -> JournalEntry {
    JournalEntry::Accepted {
        work: work(sequence),
        key: Some(format!("k{sequence}").parse().unwrap()),
        fingerprint: 7,
        spec: Arc::new(spec(payload)),
        accepted_at: at(3),
    }
}

fn ended(sequence: u64, ms: u64) -> JournalEntry {
    let refusal = Refusal::new(ResultCode::Cancelled, "cancelled \"early\"\n\u{1}é");
    JournalEntry::Ended {
        work: work(sequence),
        outcome: Outcome::Refused(refusal.retry_after(Millis::new(5))),
        at: at(ms),
    }
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
    let Some(JournalWrite::SwapHead { value, .. }) = journal.next_write(at(0)) else {
        panic!("expected a swap");
    };
    (journal, Head::clone(&value))
}

/// Names the next write, so that a case fits on one line.
fn kind(write: Option<JournalWrite>) -> &'static str {
    match write {
        None => "none",
        Some(JournalWrite::PutSegment { .. }) => "segment",
        Some(JournalWrite::PutSnapshot { .. }) => "snapshot",
        Some(JournalWrite::SwapHead { .. }) => "swap",
        Some(JournalWrite::ReadHead { .. }) => "read",
        Some(JournalWrite::DeleteKeys { .. }) => "delete",
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
                assert_eq!(kind(journal.next_write(at($at))), $expected);
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
        journal.next_write(at(0));
        journal.on_head(Some((head, version(2))));
    }, 0 => "none", 1;
    /// Guards against a commit that had no effect and is reported as durable.
    lost_answer_without_effect: |journal, _| {
        let base = journal.head().clone();
        journal.on_unknown();
        journal.next_write(at(0));
        journal.on_head(Some((base, version(1))));
    }, 0 => "swap", 0;
    /// Guards against a lost read after which nothing is read back.
    lost_read: |journal, _| {
        journal.on_unknown();
        journal.next_write(at(0));
        journal.on_unknown();
    }, 0 => "read", 0;
    /// Guards against a superseded owner that goes on.
    ownership_lost: |journal, head| {
        journal.on_unknown();
        journal.next_write(at(0));
        let successor = claim("s2", Some((head, version(2)))).head().clone();
        let events = journal.on_head(Some((successor, version(3))));
        let owner = "s2".parse().unwrap();
        assert_eq!(events, [JournalEvent::OwnershipLost { owner, epoch: Epoch::new(2) }]);
    }, 0 => "none", 0;
    /// Guards against an owner that recreates a deleted head.
    missing_head: |journal, _| {
        journal.on_unknown();
        journal.next_write(at(0));
        assert!(matches!(journal.on_head(None)[..], [JournalEvent::HeadInvalid(_)]));
    }, 0 => "none", 0;
}

/// Guards against a repeat that differs from a try that may still take effect: its entries would be told apart wrongly.
#[test]
fn write_in_doubt_is_repeated_unchanged() {
    let (mut journal, head) = swapping();
    let base = journal.head().clone();
    journal.on_unknown();
    journal.next_write(at(0));
    journal.on_head(Some((base, version(1))));
    journal.append(accepted(1, "")).unwrap();
    for now in [0, 1_000] {
        let Some(JournalWrite::SwapHead { value, .. }) = journal.next_write(at(now)) else {
            panic!("expected a swap");
        };
        assert_eq!(*value, head);
        journal.on_refused();
    }
}

/// Guards against a head that grows beyond its limit, and against a head that refers to a segment not yet written.
#[test]
fn long_tail_goes_to_a_segment_first() {
    let mut journal = journal();
    for n in 0..40 {
        journal.append(accepted(n, &"x".repeat(1_000))).unwrap();
    }
    let Some(JournalWrite::PutSegment { key, value }) = journal.next_write(at(0)) else {
        panic!("expected a segment");
    };
    assert_eq!(key, "shards/cluj/3/segment/1-0");
    assert_eq!(value.entries.len(), 40);
    journal.on_written(version(2));
    let Some(JournalWrite::SwapHead { value, .. }) = journal.next_write(at(0)) else {
        panic!("expected a swap");
    };
    assert!(value.tail.is_empty());
    assert_eq!(value.keys(&shard()), [key]);
    assert_eq!(value.next_work, Sequence::new(40));
    assert_eq!(journal.committed_up_to(), Position::new(0));
    journal.on_written(version(3));
    assert_eq!(journal.committed_up_to(), Position::new(40));
}

/// Guards against values over the store's limit of 1 MB, and against a snapshot that is not cut into parts.
#[test]
fn values_stay_below_the_limit() {
    let mut journal = journal();
    let (mut parts, mut writes) = (0, 0);
    for n in 0..200 {
        journal.append(accepted(n, &"\"".repeat(10_000))).unwrap();
    }
    journal.begin_snapshot();
    for n in 200..300 {
        while let Some(write) = journal.next_write(at(0)) {
            let size = match &write {
                JournalWrite::PutSegment { value, .. } => serde_json::to_string(value),
                JournalWrite::PutSnapshot { value, .. } => serde_json::to_string(value),
                JournalWrite::SwapHead { value, .. } => serde_json::to_string(value),
                _ => Ok(String::new()),
            };
            assert!(size.unwrap().len() < 1_000_000);
            parts += usize::from(kind(Some(write)) == "snapshot");
            writes += 1;
            let events = journal.on_written(version(2 + writes));
            if events.contains(&JournalEvent::SnapshotNeeded) {
                journal.begin_snapshot();
            }
        }
        journal.append(accepted(n, &"\"".repeat(20_000))).unwrap();
    }
    assert!(parts > 4, "{parts} parts");
    assert!(journal.head().segments.len() < 16);
}

/// Guards against an entry that no segment can hold and that blocks the journal.
#[test]
fn oversized_entry_is_refused() {
    let refusal = journal()
        .append(accepted(0, &"x".repeat(900_000)))
        .unwrap_err();
    assert_eq!(refusal.code, ResultCode::BodyTooLarge);
}

macro_rules! judgements {
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
                assert_eq!(claimed.judge(current), $expected);
            }
        )*
    };
}

judgements! {
    /// Guards against a claim that took effect and is given up.
    claim_took_effect: |_, claimed| Some((claimed, 5)) => ClaimResult::Won(version(5));
    /// Guards against a claim without effect that counts as won.
    claim_without_effect: |base, _| Some((base, 4)) => ClaimResult::Pending;
    /// Guards against two winners.
    other_claim_won: |base, _| Some((claim("s3", Some((base, version(4)))).head().clone(), 5))
        => ClaimResult::Superseded { owner: "s3".parse().unwrap(), epoch: Epoch::new(2) };
    /// Guards against a new first epoch after the head was deleted.
    head_deleted: |_, _| None => ClaimResult::Missing;
}

fn state_of(entries: &[JournalEntry], ended: usize) -> JournalState {
    let ended_for = Millis::new(100);
    let mut state = JournalState::new(Retention {
        ended_for,
        ended,
        commands: 2,
    });
    entries.iter().for_each(|entry| state.apply(entry));
    state
}

/// Returns live, held, delegated and ended work, and keys that are found.
fn summary(state: &JournalState) -> (usize, usize, usize, usize, usize) {
    let live = state.live().values();
    let team = "t1".parse().unwrap();
    let found = |n: &u64| {
        state
            .find(&team, &format!("k{n}").parse().unwrap())
            .is_some()
    };
    (
        live.len(),
        live.clone().filter(|live| live.held).count(),
        live.clone().filter(|live| live.delegated.is_some()).count(),
        state.ended_count(),
        (0..10).filter(found).count(),
    )
}

fn held(sequence: u64) -> JournalEntry {
    JournalEntry::Held {
        work: work(sequence),
    }
}

fn released(sequence: u64) -> JournalEntry {
    JournalEntry::Released {
        work: work(sequence),
    }
}

fn delegated(sequence: u64) -> JournalEntry {
    let domain = "iasi".parse().unwrap();
    JournalEntry::Delegated {
        work: work(sequence),
        domain,
    }
}

fn taken_back(sequence: u64) -> JournalEntry {
    JournalEntry::TakenBack {
        work: work(sequence),
    }
}

macro_rules! states {
    ($($(#[$doc:meta])* $name:ident: [$($entry:expr),*], $keep:literal => $summary:expr;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let state = state_of(&[$($entry),*], $keep);
                assert_eq!(summary(&state), $summary);
                // A snapshot must build the same state, or a takeover changes it.
                let entries: Vec<_> = state.to_entries().collect();
                assert_eq!(summary(&state_of(&entries, $keep)), $summary);
            }
        )*
    };
}

states! {
    /// Guards against accepted work that a takeover loses.
    live_work: [accepted(0, ""), accepted(1, "")], 9 => (2, 0, 0, 0, 2);
    /// Guards against ended work that starts again, and against a repeat that runs a second time.
    ended_work: [accepted(0, ""), ended(0, 5)], 9 => (0, 0, 0, 1, 1);
    /// Guards against work that an entry seen twice brings back.
    repeated_entry: [accepted(0, ""), ended(0, 5), accepted(0, "")], 9 => (0, 0, 0, 1, 1);
    /// Guards against ended work that is kept without bound.
    ended_is_bounded: [accepted(0, ""), accepted(1, ""), ended(0, 5), ended(1, 6)], 1 => (0, 0, 0, 1, 1);
    /// Guards against held work that starts after a takeover.
    held_work: [accepted(0, ""), held(0)], 9 => (1, 1, 0, 0, 1);
    /// Guards against released work that stays held.
    released_work: [accepted(0, ""), held(0), released(0)], 9 => (1, 0, 0, 0, 1);
    /// Guards against delegated work that also starts at home.
    delegated_work: [accepted(0, ""), delegated(0)], 9 => (1, 0, 1, 0, 1);
    /// Guards against work taken back that waits for its delegate.
    taken_back_work: [accepted(0, ""), delegated(0), taken_back(0)], 9 => (1, 0, 0, 0, 1);
}

/// Guards against ended work that is kept past its time, and against one dropped early.
#[test]
fn ended_work_expires() {
    let mut state = state_of(&[accepted(0, ""), ended(0, 5)], 9);
    state.prune(at(104));
    assert_eq!(state.ended_count(), 1);
    state.prune(at(105));
    assert_eq!(summary(&state), (0, 0, 0, 0, 0));
}

/// Guards against a replay that skips a segment that was not read.
#[test]
fn replay_needs_every_segment() {
    let mut journal = journal();
    for n in 0..40 {
        journal.append(accepted(n, &"x".repeat(1_000))).unwrap();
    }
    journal.next_write(at(0));
    journal.on_written(version(2));
    journal.next_write(at(0));
    journal.on_written(version(3));
    let replay = Replay::new(shard(), journal.head().clone(), Retention::default());
    assert_eq!(replay.missing().len(), 1);
    assert_eq!(replay.finish().unwrap_err().code, ResultCode::ShardStopped);
}

/// Guards against key names that differ from the documented ones.
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

macro_rules! sizes {
    ($($name:ident: $value:expr;)*) => {
        $(
            /// Guards against a size count that differs from the encoding, which would let a value exceed the limit.
            #[test]
            fn $name() {
                let value = $value;
                let text = serde_json::to_string(&value).unwrap();
                assert_eq!(json_size(&value), text.len() as u64);
                assert_eq!(serde_json::from_str::<JournalEntry>(&text).unwrap(), value);
            }
        )*
    };
}

sizes! {
    size_of_accepted: accepted(12, "a\"b\\c\u{7f}\u{1f}\té");
    size_of_ended: ended(3, 12_345);
    size_of_held: held(1);
    size_of_delegated: delegated(1);
    size_of_kept: state_of(&[accepted(0, ""), ended(0, 5)], 9).to_entries().next().unwrap();
}

macro_rules! paces {
    ($($(#[$doc:meta])* $name:ident: $shards:literal, $calls:expr => $interval:literal;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut pace = CommitPace::new(Rate::per_second(100), Millis::new(50));
                pace.set_shards($shards);
                let calls: fn(&mut CommitPace) = $calls;
                calls(&mut pace);
                assert_eq!(pace.interval(), Millis::new($interval));
                assert_eq!(pace.next_at(at(7)), at(7 + $interval));
            }
        )*
    };
}

paces! {
    /// Guards against a process that exceeds its budget of writes.
    budget_is_shared: 8, |_| {} => 80;
    /// Guards against a division by zero in a process without shards.
    no_shards: 0, |_| {} => 10;
    /// Guards against writes that go on at full pace although the store refuses them.
    refusals_slow_down: 8, |pace| { pace.on_refused(); pace.on_refused(); } => 320;
    /// Guards against a slow store that is loaded further.
    slow_writes_slow_down: 8, |pace| pace.on_written(Millis::new(50)) => 160;
    /// Guards against a wait that grows without bound during an outage.
    slowdown_is_bounded: 8, |pace| (0..99).for_each(|_| pace.on_refused()) => 5_120;
    /// Guards against a pace that stays slow after the store recovered.
    pace_recovers: 8, |pace| { pace.on_refused(); (0..99).for_each(|_| pace.on_written(Millis::new(2))); } => 80;
}

/// Guards against an entry limit that leaves no room behind a full tail.
#[test]
fn entry_limit_leaves_room() {
    let limits = JournalLimits::default();
    let sum = limits.entry().get() + limits.tail.get();
    assert!(Bytes::new(sum) < limits.value);
}
