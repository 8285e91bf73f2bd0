//! State that the entries of a journal build, and their encoded size.

#[path = "journal_model/entries.rs"]
mod journal_entries;

use journal_entries::{accepted, work};
use lagoon_core::code::{Refusal, ResultCode};
use lagoon_core::journal::{JournalEntry, JournalState, Retention, json_size};
use lagoon_core::unit::{Millis, Timestamp};
use lagoon_core::work::Outcome;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn ended(sequence: u64, ms: u64) -> JournalEntry {
    let refusal = Refusal::new(ResultCode::Cancelled, "cancelled \"early\"\n\u{1}é");
    JournalEntry::Ended {
        work: work(sequence),
        outcome: Outcome::Refused(refusal.retry_after(Millis::new(5))),
        at: at(ms),
    }
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

/// Returns the numbers of live, held, delegated and ended work, and of idempotency keys that are found.
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
        live.clone()
            .filter(|live| live.delegated_to.is_some())
            .count(),
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
                // A snapshot must rebuild the same state, otherwise a takeover would change it.
                let entries: Vec<_> = state.to_entries().collect();
                assert_eq!(summary(&state_of(&entries, $keep)), $summary);
            }
        )*
    };
}

states! {
    /// Guards against accepted work that is lost in a takeover.
    live_work: [accepted(0, ""), accepted(1, "")], 9 => (2, 0, 0, 0, 2);
    /// Guards against ended work that starts again, and against a repeated request that runs a second time.
    ended_work: [accepted(0, ""), ended(0, 5)], 9 => (0, 0, 0, 1, 1);
    /// Guards against a repeated entry that makes ended work live again.
    repeated_entry: [accepted(0, ""), ended(0, 5), accepted(0, "")], 9 => (0, 0, 0, 1, 1);
    /// Guards against an unbounded number of ended work records.
    ended_is_bounded: [accepted(0, ""), accepted(1, ""), ended(0, 5), ended(1, 6)], 1 => (0, 0, 0, 1, 1);
    /// Guards against held work that starts after a takeover.
    held_work: [accepted(0, ""), held(0)], 9 => (1, 1, 0, 0, 1);
    /// Guards against released work that stays held.
    released_work: [accepted(0, ""), held(0), released(0)], 9 => (1, 0, 0, 0, 1);
    /// Guards against delegated work that also starts on its own shard.
    delegated_work: [accepted(0, ""), delegated(0)], 9 => (1, 0, 1, 0, 1);
    /// Guards against work that was taken back but still waits for the other failure domain.
    taken_back_work: [accepted(0, ""), delegated(0), taken_back(0)], 9 => (1, 0, 0, 0, 1);
}

/// Guards against ended work that is retained after its retention period, and against work dropped early.
#[test]
fn ended_work_expires() {
    let mut state = state_of(&[accepted(0, ""), ended(0, 5)], 9);
    state.prune(at(104));
    assert_eq!(state.ended_count(), 1);
    state.prune(at(105));
    assert_eq!(summary(&state), (0, 0, 0, 0, 0));
}

macro_rules! sizes {
    ($($name:ident: $value:expr;)*) => {
        $(
            /// Guards against a computed size that differs from the encoded one. Values could then exceed the store's
            /// limit.
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
