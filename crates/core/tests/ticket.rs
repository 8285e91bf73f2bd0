//! The ticket table allows a request to run at most once and answers retries accurately.

use lagoon_core::code::{Refusal, ResultCode};
use lagoon_core::id::{Epoch, Sequence, Ticket};
use lagoon_core::ticket::{TicketDecision, TicketLimits, TicketTable};
use lagoon_core::unit::{Bytes, Millis, Timestamp};
use lagoon_core::work::Outcome;

const REQUEST: u64 = 7;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn table(epoch: u64) -> TicketTable {
    let limits = TicketLimits {
        outstanding: 4,
        answer_bytes: Bytes::new(1_000),
        lifetime: Millis::new(100),
    };
    TicketTable::new("cluj:3".parse().unwrap(), Epoch::new(epoch), limits)
}

fn ticket(epoch: u64, sequence: u64) -> Ticket {
    let shard = "cluj:3".parse().unwrap();
    Ticket::new(shard, Epoch::new(epoch), Sequence::new(sequence))
}

fn answer(bytes: usize) -> Outcome {
    Outcome::Succeeded("x".repeat(bytes))
}

fn overloaded() -> Outcome {
    Outcome::Refused(Refusal::new(ResultCode::Overloaded, "no room"))
}

/// Returns a table at epoch 1 whose ticket 0 is in flight.
fn in_flight() -> TicketTable {
    let mut table = table(1);
    table.issue(1, at(0)).unwrap();
    assert_eq!(
        table.admit(&ticket(1, 0), REQUEST, at(0)),
        TicketDecision::Run
    );
    table
}

fn completed(outcome: Outcome) -> TicketTable {
    let mut table = in_flight();
    assert!(table.complete(&ticket(1, 0), outcome, at(0)));
    table
}

fn next_owner(mut old: TicketTable) -> TicketTable {
    let mut new = table(2);
    new.import(old.export()).unwrap();
    new
}

/// Returns a short name of the decision, so that a test case fits on one line.
fn decision_name(decision: TicketDecision) -> String {
    match decision {
        TicketDecision::Run => "run".to_owned(),
        TicketDecision::InFlight => "in flight".to_owned(),
        TicketDecision::Done(Outcome::Refused(refusal)) => format!("done {}", refusal.code.name()),
        TicketDecision::Done(_) => "done".to_owned(),
        TicketDecision::Refuse(refusal) => refusal.code.name().to_owned(),
    }
}

macro_rules! decisions {
    ($($(#[$doc:meta])* $name:ident: $table:expr, $ticket:expr, $fingerprint:expr, $at:expr => $expected:literal;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut table = $table;
                assert_eq!(decision_name(table.admit(&$ticket, $fingerprint, at($at))), $expected);
            }
        )*
    };
}

decisions! {
    /// Guards against a retry that starts the request a second time while it is running.
    retry_in_flight: in_flight(), ticket(1, 0), REQUEST, 0 => "in flight";
    /// Guards against a retry that does not get the answer of the ended request.
    retry_after_end: completed(answer(9)), ticket(1, 0), REQUEST, 0 => "done";
    /// Guards against a request that runs after it was refused as not run.
    retry_after_refusal: completed(overloaded()), ticket(1, 0), REQUEST, 0 => "done overloaded";
    /// Guards against returning the answer of one request for a different one.
    other_request: completed(answer(9)), ticket(1, 0), 8, 0 => "key_conflict";
    /// Guards against running a request with a forged ticket.
    never_issued: in_flight(), ticket(1, 1), REQUEST, 0 => "invalid_ticket";
    /// Guards against a second run after a takeover without a handover.
    lost_epoch: table(2), ticket(1, 0), REQUEST, 0 => "ticket_epoch_lost";
    /// Guards against refusing a ticket of another shard as not run, although its own shard may have run it.
    other_shard: table(1), "t:cluj:4:1:0".parse::<Ticket>().unwrap(), REQUEST, 0 => "not_owner";
    /// Guards against a second run after the answer expired.
    expired_answer: completed(answer(9)), ticket(1, 0), REQUEST, 100 => "answer_expired";
    /// Guards against an answer that expires one millisecond early.
    answer_before_expiry: completed(answer(9)), ticket(1, 0), REQUEST, 99 => "done";
    /// Guards against a request in flight that expires and then runs again.
    long_request: in_flight(), ticket(1, 0), REQUEST, 10_000 => "in flight";
    /// Guards against a second run after the answer was too large to be retained.
    dropped_answer: completed(answer(2_000)), ticket(1, 0), REQUEST, 0 => "answer_expired";
    /// Guards against a handover that loses the answers.
    handed_over_answer: next_owner(completed(answer(9))), ticket(1, 0), REQUEST, 0 => "done";
    /// Guards against a handover that lets a request in flight run again.
    handed_over_in_flight: next_owner(in_flight()), ticket(1, 0), REQUEST, 0 => "done answer_lost";
    /// Guards against a handover that accepts forged tickets of the older epoch.
    handed_over_never_issued: next_owner(in_flight()), ticket(1, 1), REQUEST, 0 => "invalid_ticket";
}

/// Guards against an old owner that starts a request whose ticket the new owner also accepts.
#[test]
fn export_stops_the_old_owner() {
    let mut old = table(1);
    old.issue(1, at(0)).unwrap();
    let mut new = table(2);
    new.import(old.export()).unwrap();
    assert_eq!(
        decision_name(old.admit(&ticket(1, 0), REQUEST, at(0))),
        "handing_over"
    );
    assert_eq!(
        old.issue(1, at(0)).unwrap_err().code,
        ResultCode::HandingOver
    );
    assert_eq!(
        decision_name(new.admit(&ticket(1, 0), REQUEST, at(0))),
        "run"
    );
}

/// Guards against a second import that makes used tickets usable again.
#[test]
fn second_import_is_refused() {
    let mut old = table(1);
    old.issue(1, at(0)).unwrap();
    let snapshot = old.export();
    let mut new = table(2);
    new.import(snapshot.clone()).unwrap();
    let refusal = new.import(snapshot).unwrap_err();
    assert_eq!(refusal.code, ResultCode::EpochInvariant);
}

/// Guards against unbounded growth of the table.
#[test]
fn outstanding_tickets_are_limited() {
    let mut table = completed(answer(9));
    table.issue(3, at(0)).unwrap();
    assert_eq!(
        table.issue(1, at(0)).unwrap_err().code,
        ResultCode::TooManyTickets
    );
    table.confirm(&ticket(1, 0));
    assert_eq!(table.issue(1, at(0)).unwrap().len(), 1);
}

/// Guards against retained answers above the byte limit, and against dropping the newest ones first.
#[test]
fn oldest_answers_are_dropped_first() {
    let mut table = table(1);
    table.issue(4, at(0)).unwrap();
    for n in 0..4 {
        table.admit(&ticket(1, n), REQUEST, at(n));
        table.complete(&ticket(1, n), answer(300), at(n));
        assert!(table.answer_bytes() <= Bytes::new(1_000));
    }
    assert_eq!(
        decision_name(table.admit(&ticket(1, 0), REQUEST, at(4))),
        "answer_expired"
    );
    assert_eq!(
        decision_name(table.admit(&ticket(1, 3), REQUEST, at(4))),
        "done"
    );
}

/// Guards against used tickets that stay in memory because an earlier ticket is never used.
#[test]
fn used_tickets_leave_the_ring() {
    let mut table = table(1);
    table.issue(1, at(0)).unwrap();
    for n in 1..100 {
        table.issue(1, at(0)).unwrap();
        assert_eq!(
            table.admit(&ticket(1, n), REQUEST, at(0)),
            TicketDecision::Run
        );
        table.complete(&ticket(1, n), answer(9), at(0));
        table.confirm(&ticket(1, n));
    }
    assert_eq!(table.outstanding(), 1);
    let slots = table.export().epochs[0].slots.len();
    assert!(slots <= 2, "{slots} slots for one ticket");
    let mut new = next_owner(table);
    assert_eq!(
        decision_name(new.admit(&ticket(1, 0), REQUEST, at(0))),
        "run"
    );
}

/// Guards against unused tickets that block the issue of new ones forever.
#[test]
fn unused_tickets_expire() {
    let mut table = table(1);
    table.issue(2, at(0)).unwrap();
    table.issue(2, at(50)).unwrap();
    table.expire(at(100));
    assert_eq!(table.outstanding(), 2);
    assert_eq!(
        decision_name(table.admit(&ticket(1, 1), REQUEST, at(100))),
        "answer_expired"
    );
    assert_eq!(
        decision_name(table.admit(&ticket(1, 2), REQUEST, at(100))),
        "run"
    );
    table.expire(at(150));
    assert_eq!(table.outstanding(), 1);
}

/// Guards against a snapshot that changes when it is serialized for the next owner.
#[test]
fn snapshot_round_trip() {
    let snapshot = completed(overloaded()).export();
    let text = serde_json::to_string(&snapshot).unwrap();
    assert_eq!(
        serde_json::from_str::<lagoon_core::ticket::TicketSnapshot>(&text).unwrap(),
        snapshot
    );
}
