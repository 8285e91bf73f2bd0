//! Sizes of segments and snapshots, and the frequency of snapshots.

#[path = "journal_model/entries.rs"]
mod journal_entries;

use journal_entries::{accepted, shard};
use lagoon_core::journal::{
    Claim, Journal, JournalEvent, JournalLimits, JournalState, StoreRequest, StoreVersion,
    json_size,
};
use lagoon_core::unit::Timestamp;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn version(n: u64) -> StoreVersion {
    StoreVersion::new(n)
}

/// Returns the journal of the first owner of a new shard, with the head at version 1.
fn journal() -> Journal {
    let head = Claim::new(
        shard(),
        "s1".parse().unwrap(),
        "127.0.0.1:7001".to_owned(),
        None,
    )
    .head()
    .clone();
    let limits = JournalLimits::default();
    let state = JournalState::new(limits.retention);
    Journal::new(shard(), head, version(1), state, limits)
}

/// Guards against values above the store's limit of 1 MB, and against a snapshot that is not split into parts.
#[test]
fn values_stay_below_the_limit() {
    let mut journal = journal();
    let (mut parts, mut writes) = (0, 0);
    for n in 0..200 {
        journal.append(accepted(n, &"\"".repeat(10_000))).unwrap();
    }
    journal.begin_snapshot();
    for n in 200..300 {
        while let Some(write) = journal.next_request(at(0)) {
            let size = match &write {
                StoreRequest::PutSegment { value, .. } => serde_json::to_string(value),
                StoreRequest::PutSnapshot { value, .. } => serde_json::to_string(value),
                StoreRequest::SwapHead { value, .. } => serde_json::to_string(value),
                _ => Ok(String::new()),
            };
            assert!(size.unwrap().len() < 1_000_000);
            parts += usize::from(matches!(write, StoreRequest::PutSnapshot { .. }));
            writes += 1;
            let events = journal.on_written(version(2 + writes));
            if events.contains(&JournalEvent::SnapshotNeeded) {
                journal.begin_snapshot();
            }
        }
        journal.append(accepted(n, &"\"".repeat(20_000))).unwrap();
    }
    assert!(parts > 4, "{parts} parts");
    let limits = JournalLimits::default();
    assert!(journal.head().segments.len() <= limits.max_segments());
}

/// Guards against snapshots so frequent that they dominate the bytes written.
#[test]
fn snapshots_stay_below_the_segments() {
    let mut journal = journal();
    let (mut snapshot_bytes, mut segment_bytes, mut due) = (0, 0, 0);
    for n in 0..300 {
        journal.append(accepted(n, &"x".repeat(20_000))).unwrap();
        while let Some(write) = journal.next_request(at(0)) {
            match &write {
                StoreRequest::PutSegment { value, .. } => segment_bytes += json_size(value),
                StoreRequest::PutSnapshot { value, .. } => snapshot_bytes += json_size(value),
                _ => {}
            }
            let events = journal.on_written(version(n + 2));
            if events.contains(&JournalEvent::SnapshotNeeded) {
                journal.begin_snapshot();
                due += 1;
            }
        }
    }
    assert!(due > 2, "{due} snapshots");
    // The last snapshot also contains entries that are not yet part of a segment, up to one more segment.
    assert!(snapshot_bytes <= 2 * segment_bytes + 900_000);
}
