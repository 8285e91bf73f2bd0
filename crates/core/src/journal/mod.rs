//! The journal of a shard: the state that must survive the loss of its owner.
//!
//! One key of the store, the head, names the owner and contains the newest entries. Each commit replaces it by
//! compare-and-swap, so a superseded owner can't commit. The types in this module decide which request to send to the
//! store next and how to interpret its answer. The caller sends the requests and encodes the values.
//!
//! ```
//! use lagoon_core::id::ShardId;
//! use lagoon_core::journal::{Claim, Journal, JournalEntry, JournalEvent, JournalLimits, Replay, StoreVersion};
//! use lagoon_core::unit::Timestamp;
//!
//! let now = Timestamp::from_millis(0);
//! let shard: ShardId = "cluj:3".parse().unwrap();
//! let claim = Claim::new(shard.clone(), "s1".parse().unwrap(), "127.0.0.1:7001".to_owned(), None);
//! let head = claim.head().clone();
//! let limits = JournalLimits::default();
//! let state = Replay::new(shard.clone(), head.clone(), limits.retention).finish().unwrap();
//! let mut journal = Journal::new(shard, head, StoreVersion::new(1), state, limits);
//!
//! let position = journal.append(JournalEntry::HostDead { host: "h1".parse().unwrap() }).unwrap();
//! let request = journal.next_request(now).unwrap();
//! assert!(journal.next_request(now).is_none());
//! let events = journal.on_written(StoreVersion::new(2));
//! assert_eq!(events, [JournalEvent::Committed { up_to: position }]);
//! # let _ = request;
//! ```

mod claim;
mod claim_result;
mod commit_pacer;
mod ended_work;
mod group_commit;
mod head;
mod journal_core;
mod journal_entry;
mod journal_event;
mod journal_keys;
mod journal_limits;
mod journal_state;
mod json_items;
mod json_size;
mod live_work;
mod ownership_checks;
mod position;
mod proposal;
mod replay;
mod retention;
mod segment;
mod segment_ref;
mod store_request;
mod store_version;
mod used_worker;
mod withdraw;

pub use self::{
    claim::Claim, claim_result::ClaimResult, commit_pacer::CommitPacer, ended_work::EndedWork,
    head::Head, journal_core::Journal, journal_entry::JournalEntry, journal_event::JournalEvent,
    journal_keys::JournalKeys, journal_limits::JournalLimits, journal_state::JournalState,
    json_size::json_size, live_work::LiveWork, position::Position, replay::Replay,
    retention::Retention, segment::Segment, segment_ref::SegmentRef, store_request::StoreRequest,
    store_version::StoreVersion, used_worker::UsedWorker,
};
