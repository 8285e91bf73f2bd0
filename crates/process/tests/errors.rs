//! Numbers, names and classes of the result codes, and their page docs/errors.md.

use std::collections::HashSet;

use lagoon_core::{RefusalClass, ResultCode};
use lagoon_process::answer;

const PAGE: &str = include_str!("../../../docs/errors.md");

/// A row of the page's table.
struct Row {
    number: u16,
    name: String,
    class: String,
    status: u16,
    meaning: String,
    action: String,
}

fn rows() -> Vec<Row> {
    let is_code = |line: &&str| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit();
    PAGE.lines().filter(is_code).map(row).collect()
}

fn row(line: &str) -> Row {
    let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
    let [number, name, class, status, meaning, action] = cells[..] else {
        panic!("{line} has not six columns");
    };
    Row {
        number: number.parse().unwrap(),
        name: name.trim_matches('`').to_owned(),
        class: class.trim_matches('`').to_owned(),
        status: status.parse().unwrap(),
        meaning: meaning.to_owned(),
        action: action.to_owned(),
    }
}

macro_rules! codes {
    ($($variant:ident = $number:literal, $name:literal, $class:ident;)*) => {
        /// Codes as callers know them, independent of the table in `lagoon_core`.
        const KNOWN: &[(ResultCode, u16, &str, RefusalClass)] = &[
            $((ResultCode::$variant, $number, $name, RefusalClass::$class),)*
        ];
    };
}

codes! {
    Malformed = 1001, "malformed", NotRun;
    UnknownField = 1002, "unknown_field", NotRun;
    InvalidValue = 1003, "invalid_value", NotRun;
    BodyTooLarge = 1004, "body_too_large", NotRun;
    ReadTimeout = 1005, "read_timeout", NotRun;
    UnknownService = 1006, "unknown_service", NotRun;
    UnknownTeam = 1007, "unknown_team", NotRun;
    UnknownWork = 1008, "unknown_work", NotRun;
    InvalidTicket = 1009, "invalid_ticket", NotRun;
    MissingKey = 1010, "missing_key", NotRun;
    KeyConflict = 1011, "key_conflict", NotRun;
    Unauthorized = 1012, "unauthorized", NotRun;
    Forbidden = 1013, "forbidden", NotRun;
    UnknownRoute = 1014, "unknown_route", NotRun;
    QuotaExceeded = 2001, "quota_exceeded", NotRun;
    QueueFull = 2002, "queue_full", NotRun;
    DeadlineInfeasible = 2003, "deadline_infeasible", NotRun;
    NeverFits = 2004, "never_fits", NotRun;
    Overloaded = 2005, "overloaded", NotRun;
    DeadlinePassed = 2006, "deadline_passed", NotRun;
    Cancelled = 2007, "cancelled", NotRun;
    ExecutorsBusy = 2009, "executors_busy", NotRun;
    NoPolicy = 2010, "no_policy", NotRun;
    StartRefused = 2011, "start_refused", NotRun;
    TicketEpochLost = 3001, "ticket_epoch_lost", NotKnown;
    AnswerLost = 3002, "answer_lost", NotKnown;
    HostLost = 3003, "host_lost", NotKnown;
    CommitUnconfirmed = 3004, "commit_unconfirmed", NotKnown;
    AnswerExpired = 3005, "answer_expired", NotKnown;
    AnswerTimeout = 3006, "answer_timeout", NotKnown;
    Stopped = 3007, "stopped", NotKnown;
    NotOwner = 4001, "not_owner", Elsewhere;
    NotServing = 4002, "not_serving", Elsewhere;
    HandingOver = 4003, "handing_over", Elsewhere;
    ShardStopped = 4004, "shard_stopped", Elsewhere;
    Draining = 4005, "draining", Elsewhere;
    DomainUnreachable = 4006, "domain_unreachable", Elsewhere;
    TooManyTickets = 4007, "too_many_tickets", Elsewhere;
    ReservationRefused = 4008, "reservation_refused", Elsewhere;
    StoreUnavailable = 4009, "store_unavailable", Elsewhere;
    GatewayBusy = 4010, "gateway_busy", Elsewhere;
    CommandSyntax = 5001, "command_syntax", NotRun;
    StalePreview = 5002, "stale_preview", NotRun;
    CountRequired = 5003, "count_required", NotRun;
    VersionConflict = 5004, "version_conflict", NotRun;
    UnknownHost = 5005, "unknown_host", NotRun;
    InvalidPolicy = 5006, "invalid_policy", NotRun;
    CapacityInvariant = 6001, "capacity_invariant", NotKnown;
    PlaceInvariant = 6002, "place_invariant", NotKnown;
    RefusedInvariant = 6003, "refused_invariant", NotKnown;
    EpochInvariant = 6004, "epoch_invariant", NotKnown;
    InvalidSettings = 7001, "invalid_settings", NotRun;
}

/// Guards against a change to the class, number or name of a code that callers depend on.
#[test]
fn codes_keep_their_meaning() {
    for (code, number, name, class) in KNOWN {
        assert_eq!(code.class(), *class, "{code}");
        assert_eq!((code.number(), code.name()), (*number, *name));
    }
}

/// Guards against a new code that is missing in `KNOWN`.
#[test]
fn every_code_is_known() {
    let known: Vec<ResultCode> = KNOWN.iter().map(|(code, ..)| *code).collect();
    assert_eq!(known, ResultCode::ALL);
}

/// Guards against two codes with the same number or name.
#[test]
fn codes_are_distinct() {
    let numbers: HashSet<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    let names: HashSet<&str> = ResultCode::ALL.iter().map(|code| code.name()).collect();
    let count = ResultCode::ALL.len();
    assert_eq!((numbers.len(), names.len()), (count, count));
}

macro_rules! page {
    ($($(#[$guard:meta])* $name:ident: $row:ident, $code:ident => $left:expr, $right:expr;)*) => {
        $(
            $(#[$guard])*
            #[test]
            fn $name() {
                let rows = rows();
                assert_eq!(rows.len(), ResultCode::ALL.len());
                for ($row, $code) in rows.iter().zip(ResultCode::ALL) {
                    assert_eq!($left, $right, "{}", $code);
                }
            }
        )*
    };
}

page! {
    /// Guards against a page whose numbers, or their order, differ from the code.
    numbers_of_the_page: row, code => row.number, code.number();
    /// Guards against a page whose names differ from the responses.
    names_of_the_page: row, code => row.name, code.name();
    /// Guards against a page whose classes differ from the responses.
    classes_of_the_page: row, code => row.class, code.class().to_string();
    /// Guards against a page whose HTTP statuses differ from the responses.
    statuses_of_the_page: row, code => row.status, answer::status(*code).as_u16();
    /// Guards against a code without a meaning or an action on the page.
    texts_of_the_page: row, code => (row.meaning.is_empty(), row.action.is_empty()), (false, false);
}

/// Guards against a refusal with a success status.
#[test]
fn statuses_are_errors() {
    for code in ResultCode::ALL {
        let status = answer::status(*code);
        assert!(
            status.is_client_error() || status.is_server_error(),
            "{code}"
        );
    }
}
